#pragma once

#include "ask.hpp"
#include "fleet.hpp"

#include <atomic>
#include <cstdint>
#include <map>
#include <string>
#include <thread>
#include <vector>

/// Callers that write all the time while a test breaks things.
namespace redwinggw::fleet {

/// What a caller was told in the end about the write that it marked.
struct write_record {
  std::int64_t Mark = 0;
  std::string Outcome;
  /// The session read it back, through another instance, and did not find it.
  bool Missed = false;
};

/// One caller on a thread of its own. Each write puts one row with a mark that
/// no other write has into table bag, which has no key on it: a write that ran
/// twice leaves two rows. A write that is not done is repeated, through the
/// next instance, with the same request id.
class background_writer {
public:
  /// Writes through \p Instances by turns with marks from \p FirstMark on.
  background_writer(caller Caller, std::vector<http::address> Instances,
                    std::int64_t FirstMark);
  background_writer(const background_writer &) = delete;
  background_writer &operator=(const background_writer &) = delete;
  ~background_writer();

  /// Number of writes acknowledged so far. Thread safe.
  std::size_t done() const { return Done; }

  /// Ends the thread and returns all records. Called once.
  std::vector<write_record> stop();

  /// How often each kind of error was told, for the report of a failed test.
  /// Precondition: stopped.
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

/// Where the callers of all instances connect.
std::vector<http::address> callerAddresses(running_fleet &Fleet);

/// Waits, with a generous bound, for \p Enough more acknowledged writes. When
/// they do not come, stops the writer and prints why, with the logs.
bool writesContinue(running_fleet &Fleet, background_writer &Writer,
                    std::size_t Enough = 50);

/// Compares what callers were told with the rows of \p Endpoint. Returns a
/// line for each lie: lost, doubled, kept although "not run", or missed by a
/// read of its own session.
std::vector<std::string>
consistencyViolations(running_fleet &Fleet, std::string_view Endpoint,
                      const std::vector<write_record> &Records);

} // namespace redwinggw::fleet
