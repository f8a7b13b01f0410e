#include "standin.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <csignal>
#include <iostream>

namespace redwinggw::standin {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr auto Token = asio::as_tuple(asio::use_awaitable);
constexpr double MicrosecondsPerMillisecond = 1000;

} // namespace

http::response answer(const json::object &Body, unsigned Status) {
  http::response Response;
  Response.Status = Status;
  Response.Body = json::serialize(Body);
  return Response;
}

std::string textOf(const json::object &Object, std::string_view Name) {
  const json::value *Value = Object.if_contains(Name);
  if (Value == nullptr || !Value->is_string())
    return {};
  return std::string(Value->get_string());
}

std::uint64_t numberOf(const json::object &Object, std::string_view Name) {
  const json::value *Value = Object.if_contains(Name);
  if (Value == nullptr || !Value->is_number())
    return 0;
  return Value->to_number<std::uint64_t>();
}

bool flagOf(const json::object &Object, std::string_view Name) {
  const json::value *Value = Object.if_contains(Name);
  return Value != nullptr && Value->is_bool() && Value->get_bool();
}

base::microseconds timeOf(const json::object &Object, std::string_view Name) {
  const json::value *Value = Object.if_contains(Name);
  if (Value == nullptr || !Value->is_number())
    return base::microseconds(0);
  return microsecondsOf(Value->to_number<double>());
}

base::microseconds microsecondsOf(double Milliseconds) {
  return base::microseconds(
      static_cast<std::int64_t>(Milliseconds * MicrosecondsPerMillisecond));
}

base::task<void> wait_list::wait(base::instant Deadline) {
  asio::steady_timer Timer(Executor, base::timerPoint(Deadline));
  Timers.insert(&Timer);
  co_await Timer.async_wait(Token);
  Timers.erase(&Timer);
}

base::task<void> wait_list::wait() { return wait(base::instant::max()); }

void wait_list::wakeAll() {
  for (asio::steady_timer *Timer : Timers)
    Timer->cancel();
}

base::task<void> slot_queue::acquire() {
  if (Free > 0) {
    --Free;
    co_return;
  }
  asio::steady_timer Timer(Executor, asio::steady_timer::time_point::max());
  Waiting.push_back(&Timer);
  co_await Timer.async_wait(Token);
}

void slot_queue::release() {
  if (Waiting.empty()) {
    ++Free;
    return;
  }
  Waiting.front()->cancel();
  Waiting.pop_front();
}

base::task<void> pause(asio::any_io_executor Executor,
                       base::microseconds Time) {
  if (Time.count() <= 0)
    co_return;
  asio::steady_timer Timer(Executor, Time);
  co_await Timer.async_wait(Token);
}

int serve(asio::io_context &Context, http::server &Server,
          const http::address &Address) {
  const auto Listening = Server.listen(Address);
  if (!Listening) {
    std::cerr << describe(Listening.error()) << "\n";
    return 1;
  }
  std::cout << "listening " << toText(*Listening) << std::endl;
  asio::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait([&](boost::system::error_code, int) { Context.stop(); });
  Context.run();
  return 0;
}

} // namespace redwinggw::standin
