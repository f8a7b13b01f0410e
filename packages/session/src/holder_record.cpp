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
  for (const auto &[Name, Holder] : Record.Holders) {
    json::object Value{{"address", toText(Holder.Address)},
                       {"draining", Holder.Draining}};
    if (!Holder.Zone.empty())
      Value["zone"] = Holder.Zone;
    if (Holder.Covered)
      Value["covered"] = true;
    if (Holder.Leads)
      Value["leads"] = true;
    if (!Holder.LogOf.empty())
      Value["log_of"] = Holder.LogOf;
    Holders[Name] = std::move(Value);
  }
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
    for (const auto &[Name, Text] : Value.as_object()) {
      recorded_holder &Holder = Record.Holders[Name];
      Holder.Address =
          http::parseAddress(Text.at("address").as_string()).value();
      Holder.Draining = Text.at("draining").as_bool();
      // Older builds do not write these.
      if (const auto *Zone = Text.as_object().if_contains("zone"))
        Holder.Zone = Zone->as_string();
      if (const auto *Covered = Text.as_object().if_contains("covered"))
        Holder.Covered = Covered->as_bool();
      if (const auto *Leads = Text.as_object().if_contains("leads"))
        Holder.Leads = Leads->as_bool();
      if (const auto *LogOf = Text.as_object().if_contains("log_of"))
        Holder.LogOf = LogOf->as_string();
    }
    return Record;
  } catch (const std::exception &Fault) {
    base::log(base::log_level::Error, base::log_part::Failover,
              "Row " + std::string(Key) + " cannot be read: " + Fault.what());
    return std::nullopt;
  }
}

namespace {

bool isPrimary(const endpoint_entry &Entry) {
  return Entry.Role == endpoint_role::Primary;
}

bool isListed(std::string_view Name,
              const std::vector<endpoint_entry> &Listed) {
  return std::ranges::find(Listed, Name, &endpoint_entry::Name) != Listed.end();
}

/// The listed endpoint that has the log of the recorded endpoint \p Name; null
/// if that one has it itself, or if it is not known.
const endpoint_entry *successorOf(const holder_record &Record,
                                  std::string_view Name,
                                  const std::vector<endpoint_entry> &Listed) {
  const recorded_holder &Holder = Record.Holders.find(Name)->second;
  if (isListed(Name, Listed) && !Holder.Draining)
    return nullptr;
  const auto Found =
      std::ranges::find_if(Listed, [&](const endpoint_entry &Entry) {
        return Entry.Name != Name && Entry.Address == Holder.Address;
      });
  return Found == Listed.end() ? nullptr : &*Found;
}

/// Merges unlisted holders at the same address: the names that one database has
/// had, whose log counts once.
void mergeByAddress(holder_record &Record,
                    const std::vector<endpoint_entry> &Listed,
                    const base::endpoint_name &Primary) {
  std::map<std::string, recorded_holder *> ByAddress;
  for (auto At = Record.Holders.begin(); At != Record.Holders.end();) {
    if (isListed(At->first, Listed)) {
      ++At;
      continue;
    }
    const auto [Kept, New] =
        ByAddress.try_emplace(toText(At->second.Address), &At->second);
    if (New) {
      ++At;
      continue;
    }
    recorded_holder &Holder = *Kept->second;
    Holder.Covered = Holder.Covered && At->second.Covered;
    Holder.Leads = Holder.Leads || At->second.Leads;
    if (At->first == Primary || At->second.LogOf == Primary)
      Holder.LogOf = Primary;
    At = Record.Holders.erase(At);
  }
}

} // namespace

holder_record withListed(holder_record Record,
                         const std::vector<endpoint_entry> &Listed,
                         const base::endpoint_name &Primary) {
  if (std::ranges::any_of(Listed, isPrimary))
    for (auto &[Name, Holder] : Record.Holders)
      Holder.Leads = false;
  for (const endpoint_entry &Entry : Listed) {
    recorded_holder &Holder = Record.Holders[Entry.Name];
    Holder.Address = Entry.Address;
    Holder.Zone = Entry.Zone;
    Holder.Draining = Entry.Draining;
    Holder.Covered = false;
    Holder.Leads = isPrimary(Entry);
  }
  for (auto At = Record.Holders.begin(); At != Record.Holders.end();) {
    const endpoint_entry *Successor = successorOf(Record, At->first, Listed);
    if (Successor == nullptr) {
      ++At;
      continue;
    }
    if (At->first == Primary || At->second.LogOf == Primary)
      Record.Holders[Successor->Name].LogOf = Primary;
    At = Record.Holders.erase(At);
  }
  mergeByAddress(Record, Listed, Primary);
  return Record;
}

base::endpoint_name unlistedPrimary(const holder_record &Record,
                                    const std::vector<endpoint_entry> &Listed) {
  for (const auto &[Name, Holder] : Record.Holders)
    if (Holder.Leads && !isListed(Name, Listed))
      return Name;
  return {};
}

bool hasSuccessor(const holder_record &Record, std::string_view Name) {
  return std::ranges::any_of(Record.Holders, [&](const auto &Recorded) {
    return Recorded.second.LogOf == Name;
  });
}

std::vector<base::endpoint_name>
unlistedHolders(const holder_record &Record,
                const std::vector<endpoint_entry> &Listed) {
  std::vector<base::endpoint_name> Names;
  for (const auto &[Name, Holder] : Record.Holders)
    if (!isListed(Name, Listed))
      Names.push_back(Name);
  return Names;
}

std::vector<log_holder> logHolders(const holder_record &Record,
                                   const std::vector<endpoint_entry> &Listed,
                                   const base::endpoint_name &Primary) {
  std::vector<log_holder> Holders;
  // Unlisted or unknown, it may still hold commits.
  if (Primary.empty() || !hasSuccessor(Record, Primary))
    Holders.push_back({Primary, false, false, std::nullopt});
  for (const endpoint_entry &Entry : Listed) {
    if (Entry.Name == Primary)
      continue;
    log_holder &Holder = Holders.emplace_back();
    Holder.Name = Entry.Name;
    Holder.Eligible = true;
    Holder.Draining = Entry.Draining;
    // A draining one is not recorded any more beside its successor.
    const auto Recorded = Record.Holders.find(Entry.Name);
    Holder.HasPrimaryLog = !Primary.empty() &&
                           Recorded != Record.Holders.end() &&
                           Recorded->second.LogOf == Primary;
  }
  for (const base::endpoint_name &Name : unlistedHolders(Record, Listed)) {
    if (Name == Primary)
      continue;
    log_holder &Holder = Holders.emplace_back();
    Holder.Name = Name;
    Holder.Covered = Record.Holders.at(Name).Covered;
  }
  return Holders;
}

holder_record withCovered(holder_record Record,
                          const std::vector<base::endpoint_name> &Silent) {
  for (const base::endpoint_name &Name : Silent) {
    recorded_holder Holder = Record.Holders.at(Name);
    Holder.Covered = true;
    Holder.Leads = false;
    Holder.LogOf.clear();
    Record.Holders.erase(Name);
    Record.Holders[toText(Holder.Address)] = std::move(Holder);
  }
  auto Excess = std::ranges::count_if(
      Record.Holders, [](const auto &Entry) { return Entry.second.Covered; });
  std::erase_if(Record.Holders, [&](const auto &Entry) {
    return Entry.second.Covered &&
           Excess-- > static_cast<std::ptrdiff_t>(MaxCoveredHolders);
  });
  return Record;
}

bool replicasHaveAll(const endpoint_status &Primary,
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
