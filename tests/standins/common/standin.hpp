#pragma once

#include "redwinggw/base/task.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/http/address.hpp"
#include "redwinggw/http/message.hpp"
#include "redwinggw/http/server.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <deque>
#include <set>
#include <string>
#include <string_view>

/// Helpers shared by the stand-ins, which simulate the systems around redwinggw
/// in tests. Used from one thread.
namespace redwinggw::standin {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusConflict = 409;

/// Closes the connection without a response; see http::response.
constexpr unsigned CloseConnection = 0;

/// A response with \p Body as JSON.
http::response answer(const boost::json::object &Body,
                      unsigned Status = StatusOk);

/// Read a member; if it is missing or of another type, the result is empty,
/// zero or false.
std::string textOf(const boost::json::object &Object, std::string_view Name);
std::uint64_t numberOf(const boost::json::object &Object,
                       std::string_view Name);
bool flagOf(const boost::json::object &Object, std::string_view Name);
base::microseconds timeOf(const boost::json::object &Object,
                          std::string_view Name);

/// Converts \p Milliseconds, which may have a fraction.
base::microseconds microsecondsOf(double Milliseconds);

/// Coroutines that wait until wakeAll() resumes all of them.
class wait_list {
public:
  explicit wait_list(boost::asio::any_io_executor Executor)
      : Executor(std::move(Executor)) {}

  /// Waits until wakeAll or \p Deadline.
  base::task<void> wait(base::instant Deadline);

  /// Waits until wakeAll.
  base::task<void> wait();

  void wakeAll();

private:
  boost::asio::any_io_executor Executor;
  std::set<boost::asio::steady_timer *> Timers;
};

/// A fixed number of slots, granted in FIFO order.
class slot_queue {
public:
  slot_queue(boost::asio::any_io_executor Executor, unsigned Slots)
      : Executor(std::move(Executor)), Free(Slots) {}

  base::task<void> acquire();

  /// Precondition: a slot is held.
  void release();

private:
  boost::asio::any_io_executor Executor;
  unsigned Free;
  std::deque<boost::asio::steady_timer *> Waiting;
};

/// Waits for \p Time; returns at once if it is zero.
base::task<void> pause(boost::asio::any_io_executor Executor,
                       base::microseconds Time);

/// Listens at \p Address, prints "listening IP:port" and runs \p Context until
/// SIGTERM or SIGINT. Returns the exit code of the program.
int serve(boost::asio::io_context &Context, http::server &Server,
          const http::address &Address);

} // namespace redwinggw::standin
