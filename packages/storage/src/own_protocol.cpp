#include "redwinggw/storage/store.hpp"

#include "redwinggw/http/client.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <iterator>

namespace redwinggw::storage {
namespace {

namespace json = boost::json;
using base::errc;
using base::failure;
using base::result;

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusConflict = 409;

/// Throws if the body is not valid JSON; callers report it as
/// errc::StoreUnreachable, because a store with invalid responses is unusable.
json::value parsed(const http::response &Response) {
  return json::parse(Response.Body);
}

/// Upper limit for a read. A transfer that takes longer has practically
/// stalled.
constexpr base::milliseconds LongestTransfer{20000};

/// Sends a request whose whole response must arrive by \p Deadline, without a
/// pause longer than Store.Timeout.
base::task<result<http::response>> sendUntil(store &Store, std::string Target,
                                             json::object Body,
                                             base::instant Deadline) {
  http::request Request;
  Request.Target = std::move(Target);
  Request.From = Store.Instance;
  Request.Body = json::serialize(Body);
  auto Response = co_await http::exchangeOnce(Store.Executor, Store.Address,
                                              Request, Deadline, Store.Timeout);
  if (!Response)
    co_return failure(errc::StoreUnreachable, Response.error().Detail);
  const unsigned Status = Response->Status;
  if (Status != StatusOk && Status != StatusNotFound &&
      Status != StatusConflict)
    co_return failure(errc::StoreUnreachable,
                      "status " + std::to_string(Status));
  co_return std::move(*Response);
}

/// Sends a write. Its deadline is short, because the caller needs the outcome
/// soon.
base::task<result<http::response>> sendWrite(store &Store, std::string Target,
                                             json::object Body) {
  return sendUntil(Store, std::move(Target), std::move(Body),
                   base::now() + Store.Timeout);
}

/// Sends a read, whose duration depends on the response size and the bandwidth.
base::task<result<http::response>> sendRead(store &Store, std::string Target,
                                            json::object Body) {
  return sendUntil(Store, std::move(Target), std::move(Body),
                   base::now() + LongestTransfer);
}

template <typename Value, typename Read>
result<Value> readBody(const http::response &Response, Read ReadValue) {
  try {
    return ReadValue(parsed(Response));
  } catch (const std::exception &Error) {
    return failure(errc::StoreUnreachable, Error.what());
  }
}

row rowOf(const json::value &Value) {
  row Row;
  Row.Key = Value.at("key").as_string();
  Row.Version = Value.at("version").to_number<std::uint64_t>();
  if (const auto *Text = Value.as_object().if_contains("value"))
    Row.Value = Text->as_string();
  return Row;
}

std::vector<row> rowsOf(const json::value &Body) {
  std::vector<row> Rows;
  std::ranges::transform(Body.at("rows").as_array(), std::back_inserter(Rows),
                         rowOf);
  return Rows;
}

/// The rows in the order of \p Keys; missing rows have version 0.
std::vector<row> inOrder(const std::vector<row> &Rows,
                         const std::vector<std::string> &Keys) {
  std::vector<row> Ordered;
  std::ranges::transform(
      Keys, std::back_inserter(Ordered), [&](const std::string &Key) {
        const auto Found = std::ranges::find(Rows, Key, &row::Key);
        return Found == Rows.end() ? row{Key, 0, {}} : *Found;
      });
  return Ordered;
}

json::object bodyOf(const commit_request &Request) {
  json::array Checks;
  for (const check &Check : Request.Checks)
    Checks.push_back(
        json::object{{"key", Check.Key}, {"version", Check.Version}});
  json::array Puts;
  for (const put &Put : Request.Puts)
    Puts.push_back(json::object{{"key", Put.Key}, {"value", Put.Value}});
  return {{"checks", std::move(Checks)},
          {"puts", std::move(Puts)},
          {"deletes", json::value_from(Request.Deletes)}};
}

std::vector<std::uint64_t> versionsOf(const json::value &Body,
                                      const std::vector<put> &Puts) {
  std::vector<row> Rows;
  std::ranges::transform(Body.at("versions").as_array(),
                         std::back_inserter(Rows), rowOf);
  std::vector<std::uint64_t> Versions;
  std::ranges::transform(
      Puts, std::back_inserter(Versions), [&](const put &Put) {
        const auto Found = std::ranges::find(Rows, Put.Key, &row::Key);
        return Found == Rows.end() ? 0 : Found->Version;
      });
  return Versions;
}

http::address addressOf(const json::value &Instance, std::string_view Name) {
  return http::parseAddress(Instance.at(Name).as_string()).value();
}

listed_instance instanceOf(const json::value &Value) {
  listed_instance Instance;
  Instance.Name = Value.at("name").as_string();
  Instance.Zone = Value.at("zone").as_string();
  Instance.Peers = addressOf(Value, "peers");
  Instance.Callers = addressOf(Value, "callers");
  Instance.Operators = addressOf(Value, "operators");
  Instance.Leaving = Value.at("state").as_string() == "leaving";
  return Instance;
}

} // namespace

namespace own_protocol {

base::task<result<std::vector<row>>> get(store &Store,
                                         std::vector<std::string> Keys) {
  json::object Body{{"keys", json::value_from(Keys)}};
  const auto Response = co_await sendRead(Store, "/table/get", std::move(Body));
  if (!Response)
    co_return Response.error();
  co_return readBody<std::vector<row>>(
      *Response,
      [&](const json::value &Value) { return inOrder(rowsOf(Value), Keys); });
}

base::task<result<std::vector<row>>> scan(store &Store, std::string Prefix) {
  json::object Body{{"prefix", Prefix}};
  const auto Response =
      co_await sendRead(Store, "/table/scan", std::move(Body));
  if (!Response)
    co_return Response.error();
  co_return readBody<std::vector<row>>(*Response, rowsOf);
}

base::task<result<std::vector<std::uint64_t>>> commit(store &Store,
                                                      commit_request Request) {
  json::object Body = bodyOf(Request);
  const auto Response =
      co_await sendWrite(Store, "/table/commit", std::move(Body));
  if (!Response)
    co_return Response.error();
  if (Response->Status == StatusConflict)
    co_return failure(errc::Conflict, Response->Body);
  co_return readBody<std::vector<std::uint64_t>>(
      *Response, [&](const json::value &Value) {
        return versionsOf(Value, Request.Puts);
      });
}

base::task<result<void>> putObject(store &Store, std::string Name,
                                   std::string Content) {
  json::object Body{{"name", Name}, {"content", Content}};
  const auto Response =
      co_await sendWrite(Store, "/object/put", std::move(Body));
  if (!Response)
    co_return Response.error();
  co_return result<void>();
}

base::task<result<std::string>> getObject(store &Store, std::string Name) {
  json::object Body{{"name", Name}};
  const auto Response =
      co_await sendRead(Store, "/object/get", std::move(Body));
  if (!Response)
    co_return Response.error();
  if (Response->Status == StatusNotFound)
    co_return failure(errc::NotFound, "object " + Name);
  co_return readBody<std::string>(*Response, [](const json::value &Value) {
    return std::string(Value.at("content").as_string());
  });
}

base::task<result<std::vector<listed_instance>>> listInstances(store &Store) {
  json::object Body;
  const auto Response = co_await sendRead(Store, "/instances", std::move(Body));
  if (!Response)
    co_return Response.error();
  co_return readBody<std::vector<listed_instance>>(
      *Response, [](const json::value &Value) {
        std::vector<listed_instance> Instances;
        std::ranges::transform(Value.at("instances").as_array(),
                               std::back_inserter(Instances), instanceOf);
        return Instances;
      });
}

} // namespace own_protocol

const store_driver &ownProtocol() {
  static const store_driver Driver{
      own_protocol::get,       own_protocol::scan,
      own_protocol::commit,    own_protocol::putObject,
      own_protocol::getObject, own_protocol::listInstances};
  return Driver;
}

} // namespace redwinggw::storage
