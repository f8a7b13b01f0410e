#pragma once

#include "ask.hpp"
#include "fleet.hpp"

#include <atomic>
#include <cstdint>
#include <map>
#include <string>
#include <thread>
#include <vector>

/// Callers that write continuously while a test injects faults.
namespace redwinggw::fleet {

/// The last outcome that a caller got for one write.
struct write_record {
  std::int64_t Mark = 0;
  std::string Outcome;
  /// Whether a read of the session, through another instance, did not find the
  /// write.
  bool Missed = false;
};

/// One caller on its own thread. Each write inserts a row with a unique mark
/// into table bag, which has no key on it, so that a write that ran twice
/// leaves two rows. A write that is not done is retried through the next
/// instance with the same request id.
class background_writer {
public:
  /// Writes through \p Instances in rotation, with marks from \p FirstMark on.
  background_writer(caller Caller, std::vector<http::address> Instances,
                    std::int64_t FirstMark);
  background_writer(const background_writer &) = delete;
  background_writer &operator=(const background_writer &) = delete;
  ~background_writer();

  /// Number of writes acknowledged so far. Thread safe.
  std::size_t done() const { return Done; }

  /// Ends the thread and returns all records. Called once.
  std::vector<write_record> stop();

  /// How often each kind of error was returned, for the report of a failed
  /// test. Precondition: stopped.
  std::string refusals() const;

private:
  void run();
  const http::address &addressFor(std::int64_t Mark, std::size_t Try) const;
  std::string writeOnce(std::int64_t Mark);
  bool misses(std::int64_t Mark);

  caller Caller;
  std::vector<http::address> Instances;
  std::int64_t NextMark;
  std::vector<write_record> Records;
  std::map<std::string, unsigned> Refusals;
  std::atomic<std::size_t> Done{0};
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

/// The callers' addresses of all instances.
std::vector<http::address> callerAddresses(running_fleet &Fleet);

/// Waits for \p Enough more acknowledged writes, for a generous time. After it,
/// stops the writer and prints the errors and the logs.
bool writesContinue(running_fleet &Fleet, background_writer &Writer,
                    std::size_t Enough = 50);

/// Compares the outcomes that callers got with the rows of \p Endpoint. Returns
/// a line for each violation: a write that was lost, that ran twice, that ran
/// although reported as "not run", or that a read of its own session missed.
std::vector<std::string>
consistencyViolations(running_fleet &Fleet, std::string_view Endpoint,
                      const std::vector<write_record> &Records);

} // namespace redwinggw::fleet
