#pragma once

#include "redwinggw/session/endpoint_link.hpp"
#include "redwinggw/session/link_statement.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

/// Statement forwarding: one instance runs statements for another, on
/// connections of its own.
///
/// A connection belongs to one customer, and an endpoint accepts few. If each
/// instance kept its own, customers times instances would be far more than
/// there are, and nearly every statement would have to open a new connection.
/// So each endpoint has one instance that owns its connections, and the others
/// forward their statements to it. The caller's instance still decides
/// everything about the statement (key, rate, route, freshness, retries,
/// whether its answer may be delivered), and can always connect to the endpoint
/// itself.
namespace redwinggw::session {

/// Why forwarding a statement failed.
enum class forwarding_failure : std::uint8_t {
  None,
  /// The owner did not answer, or cannot be reached.
  OwnerLost,
  /// The owner got no slot or no connection in time.
  NoConnection,
  /// The owner does not know the endpoint, or may not use it as the primary.
  Refused,
  /// The owner cannot reach the endpoint.
  EndpointLost,
};

/// What the owner lacked when it did not run a statement.
enum class owner_lack : std::uint8_t {
  /// Nothing, or an owner that does not report it.
  None,
  /// No slot got free in time.
  Slot,
  /// All connections are in use.
  Connection,
  /// The endpoint accepts no more connections at present.
  Acceptance,
  /// The endpoint cannot be reached.
  Endpoint,
  /// The endpoint is cold and gets no more requests at present.
  ColdToken,
};

struct forwarding_request {
  base::endpoint_name Endpoint;
  base::customer_name Customer;
  link_statement Statement;
  /// Priority of the caller's route; 0 is the most important.
  unsigned Priority = 0;
  /// Time for the whole statement.
  base::milliseconds TimeLeft{0};
  /// The part of TimeLeft in which the owner has to get a slot and a
  /// connection.
  base::milliseconds SlotWait{0};
};

struct forwarding_reply {
  forwarding_failure Failure = forwarding_failure::None;
  exchange Exchange;
  /// How long the statement was at the endpoint.
  base::milliseconds Ran{0};
  /// Statements that run or wait at the owner for this endpoint.
  std::uint16_t Load = 0;
  /// Not sent by older builds: None and zero then.
  owner_lack Lack = owner_lack::None;
  /// When the owner expects to have what it lacked; zero if it does not know.
  base::milliseconds RetryAfter{0};
};

/// Forwards statements for one endpoint to its owner. It pins a connection
/// there while a transaction is open on it; destroying it before the end of the
/// transaction rolls back. Used from one thread, one run at a time.
class forwarding_link {
public:
  forwarding_link() = default;
  forwarding_link(const forwarding_link &) = delete;
  forwarding_link &operator=(const forwarding_link &) = delete;
  virtual ~forwarding_link() = default;

  /// Lets the owner run \p Statement. \p WaitUntil bounds the wait for a slot
  /// and a connection. Outcome Broken or TimedOut: it may have run.
  virtual base::task<forwarding_reply> run(const link_statement &Statement,
                                           base::instant WaitUntil,
                                           base::instant Deadline) = 0;

  /// The owner's name, for logs.
  virtual std::string_view owner() const = 0;

  /// The owner's availability zone.
  virtual std::string_view zone() const = 0;
};

/// Encoding and decoding of the messages, which are signed with the fleet's
/// secret. Nothing for bytes that were truncated, changed, or signed with
/// another secret. Thread safe.
std::string encodeRequest(std::string_view Secret,
                          const forwarding_request &Value);
std::string encodeReply(std::string_view Secret, const forwarding_reply &Value);
std::optional<forwarding_request> decodeRequest(std::string_view Secret,
                                                std::string_view Bytes);
std::optional<forwarding_reply> decodeReply(std::string_view Secret,
                                            std::string_view Bytes);

/// The name of \p Failure in logs. Thread safe.
std::string_view forwardingFailureName(forwarding_failure Failure);
std::string_view ownerLackName(owner_lack Lack);

/// The reply to a statement that, or whose answer, exceeds a message between
/// instances. The owner is up; the statement is run without it. Thread safe.
inline forwarding_reply refusedAsTooLong() {
  forwarding_reply Reply;
  Reply.Failure = forwarding_failure::Refused;
  return Reply;
}

} // namespace redwinggw::session
