#include "redwinggw/session/holder_record.hpp"

#include "redwinggw/base/log.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace redwinggw::session {

namespace json = boost::json;

std::string holderKey(std::string_view Service) {
  return std::string(HolderPrefix).append(Service);
}

std::string holderText(const holder_record &Record) {
  json::object Holders;
  for (const auto &[Name, Holder] : Record.Holders)
    Holders[Name] = json::object{{"address", toText(Holder.Address)},
                                 {"draining", Holder.Draining}};
  return json::serialize(Holders);
}

std::optional<holder_record> readHolders(std::string_view Key,
                                         std::uint64_t Version,
                                         std::string_view Text) {
  try {
    holder_record Record;
    Record.Service = Key.substr(HolderPrefix.size());
    Record.Version = Version;
    const json::value Value = json::parse(Text);
    for (const auto &[Name, Holder] : Value.as_object())
      Record.Holders[Name] = {
          http::parseAddress(Holder.at("address").as_string()).value(),
          Holder.at("draining").as_bool()};
    return Record;
  } catch (const std::exception &Fault) {
    base::log(base::log_level::Error, base::log_part::Failover,
              "Row " + std::string(Key) + " cannot be read: " + Fault.what());
    return std::nullopt;
  }
}

holder_record withListed(holder_record Record,
                         const std::vector<endpoint_entry> &Listed) {
  for (const endpoint_entry &Entry : Listed)
    Record.Holders[Entry.Name] = {Entry.Address, Entry.Draining};
  std::erase_if(Record.Holders, [&](const auto &Recorded) {
    const auto &[Name, Holder] = Recorded;
    return Holder.Draining &&
           std::ranges::any_of(Listed, [&](const endpoint_entry &Entry) {
             return Entry.Name != Name && Entry.Address == Holder.Address;
           });
  });
  return Record;
}

std::vector<base::endpoint_name>
unlistedHolders(const holder_record &Record,
                const std::vector<endpoint_entry> &Listed) {
  std::vector<base::endpoint_name> Names;
  for (const auto &[Name, Holder] : Record.Holders)
    if (std::ranges::find(Listed, Name, &endpoint_entry::Name) == Listed.end())
      Names.push_back(Name);
  return Names;
}

bool coverUnlisted(const endpoint_status &Primary,
                   const std::vector<endpoint_status> &Replicas,
                   unsigned SynchronousReplicas) {
  // A replica of a later term shows that another endpoint leads.
  const bool Leads =
      Primary.Role == endpoint_role::Primary &&
      std::ranges::none_of(Replicas, [&](const endpoint_status &Replica) {
        return Replica.Term > Primary.Term;
      });
  const auto Covering =
      std::ranges::count_if(Replicas, [&](const endpoint_status &Replica) {
        return Replica.Term == Primary.Term &&
               Replica.Received >= Primary.Received;
      });
  return Leads && static_cast<std::size_t>(Covering) >= SynchronousReplicas;
}

} // namespace redwinggw::session
