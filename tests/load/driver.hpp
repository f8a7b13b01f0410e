#pragma once

#include "caller.hpp"
#include "plan.hpp"
#include "report.hpp"
#include "session.hpp"

#include <deque>
#include <functional>
#include <map>

/// Runs a load plan against instances and checks the answers for consistency
/// violations.
namespace redwinggw::load {

struct driver_options {
  base::milliseconds Deadline{2000};
  /// How long a statement with an unknown outcome is retried and the outcome of
  /// a transaction queried. After one last query the outcome stays unknown.
  base::milliseconds ResolveTimeout{15'000};
  /// Sends each customer's requests to one instance only, as a load balancer
  /// with skewed distribution does.
  bool OneInstance = false;
};

/// The connections and sessions of one run. Not thread safe; must outlive the
/// tasks that it starts.
class driver {
public:
  driver(boost::asio::any_io_executor Executor, load_plan Plan,
         std::vector<http::address> Instances, driver_options Options);

  /// Creates the counter table of each service; idempotent. Needed once for
  /// each fleet. False when a service did not accept the write.
  base::task<bool> prepare();

  /// Sends the plan's arrivals, waits for all answers, checks the counters
  /// stored in the databases and reports.
  base::task<load_report> run();

  /// Called at each acknowledged write of a service with its time; for tests
  /// and for finding the gap in writes around a fault.
  std::function<void(std::size_t Service, base::instant At)> OnWrite;

private:
  using pool_key = std::pair<std::size_t, std::size_t>;

  session &checkOut(const arrival &Arrival);
  std::size_t nextInstance(session &Session) const;
  boost::json::object bodyFor(const session &Session,
                              std::string_view Access) const;
  base::task<void> perform(arrival Arrival, base::instant Start);
  base::task<void> performRead(session &Session, request_record &Record);
  base::task<void> performWrite(session &Session, request_record &Record);
  base::task<void> performTransaction(session &Session, request_record &Record);
  base::task<caller_answer> tryInstances(session &Session, std::string Target,
                                         boost::json::object Body);
  base::task<caller_answer> resolve(session &Session, request_record &Record,
                                    std::string Target,
                                    boost::json::object Body);
  base::task<void> sendAll(base::instant Start);
  base::task<void> checkEnd();
  base::task<bool> checkSessions(std::size_t Customer, std::size_t Service);
  base::task<void> pause(base::milliseconds Time);
  void check(const session &Session, const caller_answer &Answer);
  void note(violation Violation);
  void settleWrite(session &Session, const caller_answer &Answer);
  const std::string &keyOf(const session &Session) const;

  boost::asio::any_io_executor Executor;
  load_plan Plan;
  driver_options Options;
  caller Caller;
  std::string RunId;
  std::deque<session> Sessions;
  std::map<pool_key, std::vector<session *>> Free;
  std::vector<request_record> Records;
  std::map<violation, std::uint64_t> Violations;
  std::uint64_t Unchecked = 0;
  std::size_t Running = 0;
};

} // namespace redwinggw::load
