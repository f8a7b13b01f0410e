#pragma once

#include "caller.hpp"
#include "plan.hpp"
#include "report.hpp"
#include "session.hpp"

#include <deque>
#include <functional>
#include <map>

/// Runs a plan against instances and judges what callers saw.
namespace redwinggw::load {

struct driver_options {
  base::milliseconds Deadline{2000};
  /// An unknown write is repeated for so long, then asked after, then given up.
  base::milliseconds ResolveTimeout{15'000};
  /// Sends each customer's requests to one instance only, as a skewed
  /// balancer does.
  bool OneInstance = false;
};

/// The connections and sessions of one run. Used from one thread; outlives
/// the tasks that it starts.
class driver {
public:
  driver(boost::asio::any_io_executor Executor, load_plan Plan,
         std::vector<http::address> Instances, driver_options Options);

  /// Creates the counter table of each service. Run once a fleet; a repeat
  /// changes nothing.
  base::task<bool> prepare();

  /// Sends the plan's arrivals, waits for all answers, checks what stands in
  /// the databases and reports.
  base::task<load_report> run();

  /// Called with the time since the start at each acknowledged write of a
  /// service; for tests and for finding the gap around a fault.
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
