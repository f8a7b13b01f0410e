#include "platform.hpp"

#include "redwinggw/base/enum_table.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <array>

namespace redwinggw::standin {
namespace {

namespace json = boost::json;

constexpr std::array FaultNames =
    std::to_array<base::enum_name<platform_fault_kind>>({
        {platform_fault_kind::Outage, "outage"},
        {platform_fault_kind::Slow, "slow"},
        {platform_fault_kind::Silent, "silent"},
        {platform_fault_kind::LoseAnswer, "lose_answer"},
        {platform_fault_kind::None, "none"},
    });

constexpr std::array WriteTargets{"/table/commit", "/object/put"};

json::object objectOf(const storage::row &Row) {
  return {{"key", Row.Key}, {"version", Row.Version}, {"value", Row.Value}};
}

json::object objectOf(const storage::listed_instance &Instance) {
  return {{"name", Instance.Name},
          {"zone", Instance.Zone},
          {"peers", toText(Instance.Peers)},
          {"callers", toText(Instance.Callers)},
          {"operators", toText(Instance.Operators)},
          {"state", Instance.Leaving ? "leaving" : "live"}};
}

json::array versionsOf(const std::vector<storage::row> &Rows) {
  json::array Versions;
  for (const storage::row &Row : Rows)
    Versions.push_back(
        json::object{{"key", Row.Key}, {"version", Row.Version}});
  return Versions;
}

http::response rowsAnswer(const std::vector<storage::row> &Rows) {
  json::array List;
  for (const storage::row &Row : Rows)
    if (Row.Version != 0)
      List.push_back(objectOf(Row));
  return answer({{"rows", std::move(List)}});
}

storage::commit_request commitOf(const json::object &Body) {
  storage::commit_request Request;
  if (const json::value *Checks = Body.if_contains("checks"))
    for (const json::value &Check : Checks->as_array())
      Request.Checks.push_back({textOf(Check.as_object(), "key"),
                                numberOf(Check.as_object(), "version")});
  if (const json::value *Puts = Body.if_contains("puts"))
    for (const json::value &Put : Puts->as_array())
      Request.Puts.push_back(
          {textOf(Put.as_object(), "key"), textOf(Put.as_object(), "value")});
  if (const json::value *Deletes = Body.if_contains("deletes"))
    for (const json::value &Key : Deletes->as_array())
      Request.Deletes.emplace_back(Key.as_string());
  return Request;
}

http::address addressOf(const json::object &Body, std::string_view Name) {
  return http::parseAddress(textOf(Body, Name)).value();
}

} // namespace

platform_standin::platform_standin(boost::asio::any_io_executor Executor,
                                   base::microseconds ListLag)
    : Executor(Executor), FaultsChanged(Executor) {
  Instances.Lag = ListLag;
}

base::task<http::response> platform_standin::handle(http::request Request) {
  if (Request.Target.starts_with("/admin/"))
    co_return admin(Request);
  count(Request);
  http::response Closed;
  Closed.Status = CloseConnection;
  if (faultFor(platform_fault_kind::Outage, Request.From) != nullptr)
    co_return Closed;
  while (faultFor(platform_fault_kind::Silent, Request.From) != nullptr) {
    co_await FaultsChanged.wait();
    if (faultFor(platform_fault_kind::Silent, Request.From) == nullptr)
      co_return Closed;
  }
  http::response Response = perform(Request);
  if (const auto *Slow = faultFor(platform_fault_kind::Slow, Request.From))
    co_await pause(Executor, Slow->Delay);
  if (Response.Status == StatusOk && loseAnswer(Request))
    co_return Closed;
  co_return Response;
}

http::response platform_standin::perform(const http::request &Request) {
  try {
    const json::value Parsed = json::parse(Request.Body);
    const json::object &Body = Parsed.as_object();
    if (Request.Target == "/table/commit")
      return commitRows(Body);
    if (Request.Target.starts_with("/table/"))
      return readTable(Request.Target, Body);
    if (Request.Target.starts_with("/object/"))
      return objects(Request.Target, Body);
    if (Request.Target == "/instances")
      return listInstances();
    return answer({{"error", "no such request"}}, StatusNotFound);
  } catch (const std::exception &Error) {
    return answer({{"error", Error.what()}}, StatusBadRequest);
  }
}

http::response platform_standin::commitRows(const json::object &Body) {
  const commit_outcome Outcome = commit(Table, commitOf(Body));
  if (!Outcome.Conflicts.empty())
    return answer({{"conflicts", versionsOf(Outcome.Conflicts)}},
                  StatusConflict);
  return answer({{"versions", versionsOf(Outcome.Written)}});
}

http::response platform_standin::readTable(const std::string &Target,
                                           const json::object &Body) {
  if (Target == "/table/scan")
    return rowsAnswer(rowsWithPrefix(Table, textOf(Body, "prefix")));
  if (Target != "/table/get")
    return answer({{"error", "no such request"}}, StatusNotFound);
  std::vector<storage::row> Rows;
  for (const json::value &Key : Body.at("keys").as_array())
    Rows.push_back(rowAt(Table, std::string(Key.as_string())));
  return rowsAnswer(Rows);
}

http::response platform_standin::objects(const std::string &Target,
                                         const json::object &Body) {
  const std::string Name = textOf(Body, "name");
  if (Target == "/object/put") {
    Objects[Name] = textOf(Body, "content");
    return answer({});
  }
  const auto Found = Objects.find(Name);
  if (Found == Objects.end())
    return answer({{"error", "no such object"}}, StatusNotFound);
  return answer({{"content", Found->second}});
}

http::response platform_standin::listInstances() const {
  json::array List;
  for (const auto &Instance : visibleAt(Instances, base::now()))
    List.push_back(objectOf(Instance));
  return answer({{"instances", std::move(List)}});
}

http::response platform_standin::admin(const http::request &Request) {
  try {
    const json::value Parsed = json::parse(Request.Body);
    const json::object &Body = Parsed.as_object();
    if (Request.Target == "/admin/counters")
      return counters();
    if (Request.Target == "/admin/fault")
      setFault(Body);
    else if (Request.Target == "/admin/instance")
      changeInstance(Body);
    else
      return answer({{"error", "no such request"}}, StatusNotFound);
    return answer({});
  } catch (const std::exception &Error) {
    return answer({{"error", Error.what()}}, StatusBadRequest);
  }
}

void platform_standin::setFault(const json::object &Body) {
  const auto Kind = base::valueOf(FaultNames, textOf(Body, "kind"));
  if (!Kind)
    throw std::invalid_argument("kind is not one of docs/PLATFORM.md");
  const std::string From = textOf(Body, "from");
  std::erase_if(Faults, [&](const platform_fault &Fault) {
    const bool SameKind =
        *Kind == platform_fault_kind::None || Fault.Kind == *Kind;
    return SameKind && (From.empty() || Fault.From == From);
  });
  if (*Kind != platform_fault_kind::None)
    Faults.push_back({*Kind, timeOf(Body, "ms"),
                      std::max<std::uint64_t>(numberOf(Body, "count"), 1),
                      From});
  FaultsChanged.wakeAll();
}

void platform_standin::changeInstance(const json::object &Body) {
  listing_change Change;
  Change.At = base::now();
  Change.Instance.Name = textOf(Body, "name");
  const std::string State = textOf(Body, "state");
  Change.Gone = State == "gone";
  if (!Change.Gone) {
    Change.Instance.Zone = textOf(Body, "zone");
    Change.Instance.Peers = addressOf(Body, "peers");
    Change.Instance.Callers = addressOf(Body, "callers");
    Change.Instance.Operators = addressOf(Body, "operators");
    Change.Instance.Leaving = State == "leaving";
  }
  Instances.Changes.push_back(std::move(Change));
}

http::response platform_standin::counters() const {
  request_counts Total;
  json::array By;
  for (const auto &[From, Count] : Counts) {
    Total.Reads += Count.Reads;
    Total.Writes += Count.Writes;
    By.push_back(json::object{
        {"from", From}, {"reads", Count.Reads}, {"writes", Count.Writes}});
  }
  return answer({{"reads", Total.Reads},
                 {"writes", Total.Writes},
                 {"by", std::move(By)}});
}

void platform_standin::count(const http::request &Request) {
  request_counts &Count = Counts[Request.From];
  if (std::ranges::find(WriteTargets, Request.Target) != WriteTargets.end())
    ++Count.Writes;
  else
    ++Count.Reads;
}

const platform_fault *
platform_standin::faultFor(platform_fault_kind Kind,
                           const std::string &From) const {
  const auto Found =
      std::ranges::find_if(Faults, [&](const platform_fault &Fault) {
        return Fault.Kind == Kind && (Fault.From.empty() || Fault.From == From);
      });
  return Found == Faults.end() ? nullptr : &*Found;
}

bool platform_standin::loseAnswer(const http::request &Request) {
  if (Request.Target != "/table/commit")
    return false;
  const auto Found =
      std::ranges::find_if(Faults, [&](const platform_fault &Fault) {
        return Fault.Kind == platform_fault_kind::LoseAnswer &&
               (Fault.From.empty() || Fault.From == Request.From);
      });
  if (Found == Faults.end())
    return false;
  if (--Found->Count == 0)
    Faults.erase(Found);
  return true;
}

} // namespace redwinggw::standin
