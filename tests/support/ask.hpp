#pragma once

#include "redwinggw/http/address.hpp"

#include <boost/json/object.hpp>

#include <chrono>
#include <string>

/// A blocking HTTP client for tests. Used from one thread.
namespace redwinggw::fleet {

/// The response; Status is 0 without a complete one.
struct reply {
  unsigned Status = 0;
  boost::json::object Body;
  /// Why there is no response.
  std::string Failure;
};

constexpr std::chrono::milliseconds AskTimeout{10'000};

/// Sends a POST and waits for the response. Body stays empty when the response
/// is not a JSON object.
reply ask(const http::address &Address, std::string Target,
          const boost::json::object &Body, std::string Authorization = {},
          std::chrono::milliseconds Timeout = AskTimeout);

/// The status of a GET; 0 without a response.
unsigned statusOfGet(const http::address &Address, std::string Target);

/// A caller of the fleet: its key, its service, its session.
class caller {
public:
  caller(std::string Key, std::string Service)
      : Key(std::move(Key)), Service(std::move(Service)) {}

  /// A read in the caller's session, through the instance at \p Address.
  reply read(const http::address &Address, std::string Sql,
             boost::json::array Params = {});

  /// A write with a new request id.
  reply write(const http::address &Address, std::string Sql,
              boost::json::array Params = {});

  /// Repeats the last write with its request id.
  reply repeat(const http::address &Address);

  /// Asks for the outcome of the last write.
  reply outcomeOfWrite(const http::address &Address);

  /// Sends \p Body with the key, the service and the session, and keeps the
  /// session of the response.
  reply send(const http::address &Address, std::string Target,
             boost::json::object Body);

  /// Request id of the last write.
  const std::string &requestId() const { return RequestId; }

private:
  std::string Key;
  std::string Service;
  std::string Session;
  std::string RequestId;
  boost::json::object LastWrite;
};

/// The value of \p Name if it is a string, else empty.
std::string textIn(const boost::json::object &Body, std::string_view Name);

/// "done", "not_run", "unknown", or "no answer".
std::string outcomeOf(const reply &Reply);

} // namespace redwinggw::fleet
