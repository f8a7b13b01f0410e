#pragma once

#include "redwinggw/base/task.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/session/directory.hpp"
#include "redwinggw/session/statement.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

/// Interface to a database: one connection, bound to one customer.
namespace redwinggw::session {

/// How an exchange with an endpoint ended.
enum class exchange_outcome {
  /// The endpoint answered in full; the answer may be an error.
  Answered,
  /// Nothing was sent.
  NotSent,
  /// It was sent, and the connection broke before the complete answer arrived.
  Broken,
  /// It was sent, and no complete answer arrived in time.
  TimedOut,
};

/// Why no valid answer was read.
enum class answer_fault {
  None,
  /// The connection ended before the end of the answer.
  Incomplete,
  /// A line that is no part of an answer.
  Malformed,
  /// Parts of an answer that do not follow each other, or come twice.
  OutOfOrder,
  /// The answer to another statement.
  Mismatched,
};

struct exchange {
  exchange_outcome Outcome = exchange_outcome::NotSent;
  answer Answer;
  base::instant SentAt;
  /// Set if the outcome is Broken.
  answer_fault Fault = answer_fault::None;
};

/// The names in logs. Thread safe.
/// @{
std::string_view outcomeName(exchange_outcome Outcome);
std::string_view answerFaultName(answer_fault Fault);
/// @}

/// Replication state that an endpoint reports on request.
struct endpoint_status {
  endpoint_role Role = endpoint_role::Replica;
  base::term_number Term = 0;
  /// The last log entry received.
  log_point Received;
  /// The term in which receiving is paused; 0 if it is not paused.
  base::term_number PausedFor = 0;
  base::milliseconds Lag{0};
  unsigned Connections = 0;
};

enum class status_command { Ask, Pause, Resume, Demote };

struct status_exchange {
  exchange_outcome Outcome = exchange_outcome::NotSent;
  std::optional<answer_error> Error;
  std::optional<endpoint_status> Status;
};

/// One connection. Used from one thread, one exchange at a time; closed by
/// its destructor and after every outcome but Answered.
class endpoint_link {
public:
  endpoint_link() = default;
  endpoint_link(const endpoint_link &) = delete;
  endpoint_link &operator=(const endpoint_link &) = delete;
  virtual ~endpoint_link() = default;

  /// Connects for \p Customer. The endpoint refuses (Misrouted) when it is
  /// not the one that \p Entry names or, if that has no name, of another
  /// service.
  virtual base::task<exchange> open(const endpoint_entry &Entry,
                                    std::string_view Customer,
                                    base::instant Deadline) = 0;

  /// Runs \p Text under the caller's \p Id, or as an internal statement if
  /// \p Id is empty. With \p After the endpoint refuses (Lagging) unless its
  /// log holds that position.
  virtual base::task<exchange> run(std::string_view Id, std::string_view Text,
                                   std::optional<log_point> After,
                                   base::instant Deadline) = 0;

  /// Reads one more answer: the one that came last was an earlier statement's.
  virtual base::task<exchange> readOn(base::instant Deadline) = 0;

  /// \p Term is used by Pause and Demote.
  virtual base::task<status_exchange> command(status_command Command,
                                              base::term_number Term,
                                              base::instant Deadline) = 0;

  /// False if the peer has closed the connection or sent unsolicited data.
  virtual bool isUsable() = 0;

  /// \name Texts of internal statements
  /// @{
  virtual std::string beginText(bool ReadOnly) const = 0;
  virtual std::string rollbackText() const = 0;
  virtual std::string resetText() const = 0;
  virtual std::string setText(std::string_view Name,
                              std::string_view Value) const = 0;
  virtual std::string prepareText(std::string_view Name,
                                  std::string_view Operand) const = 0;
  virtual std::string executeText(std::string_view Name,
                                  std::string_view Operand) const = 0;
  /// @}
};

/// Creates a link that is not connected yet.
using link_factory = std::function<std::unique_ptr<endpoint_link>()>;

} // namespace redwinggw::session
