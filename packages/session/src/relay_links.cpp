#include "redwinggw/session/relay_links.hpp"

#include "frame_stream.hpp"

#include "redwinggw/base/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <list>
#include <map>
#include <optional>

namespace redwinggw::session {
namespace {

namespace asio = boost::asio;
using base::instant;
using base::milliseconds;

constexpr auto Token = asio::as_tuple(asio::use_awaitable);
/// An instance that left a statement without an answer is passed over for so
/// long; by then its heartbeats tell whether it is up.
constexpr milliseconds LostPause{1000};
/// A connection between instances is there within a few round trips.
constexpr milliseconds ConnectTime{200};
/// The owner gives up so much before the caller's instance does, so that an
/// endpoint that is late can be told from an owner that is.
constexpr milliseconds AnswerMargin{40};
/// A part of a configuration is there by then, or the instance is lost.
constexpr milliseconds PartTime{1000};

milliseconds spanTo(instant Until) {
  const auto Left = std::chrono::floor<milliseconds>(Until - base::now());
  return std::max(Left, milliseconds(0));
}

} // namespace

struct relay_links::state : std::enable_shared_from_this<state> {
  /// What is known of one owner.
  struct way {
    relay_owner Owner;
    std::list<std::unique_ptr<frame_stream>> Idle;
    std::optional<instant> LostAt;
  };

  state(asio::any_io_executor Executor, deadline_watch &Watch,
        std::string Secret)
      : Executor(std::move(Executor)), Watch(Watch), Secret(std::move(Secret)) {
  }

  class link;

  std::unique_ptr<frame_stream> takeIdle(way &Way);
  base::task<std::unique_ptr<frame_stream>> connect(const relay_owner &Owner,
                                                    instant Deadline);
  base::task<std::optional<configuration_part>> nextPart(frame_stream &Stream);
  void noteLost(way &Way, std::string_view What);

  asio::any_io_executor Executor;
  deadline_watch &Watch;
  std::string Secret;
  std::map<base::instance_name, std::shared_ptr<way>, std::less<>> Ways;
};

std::unique_ptr<frame_stream> relay_links::state::takeIdle(way &Way) {
  while (!Way.Idle.empty()) {
    auto Stream = std::move(Way.Idle.front());
    Way.Idle.pop_front();
    if (Stream->isQuiet())
      return Stream;
  }
  return nullptr;
}

base::task<std::unique_ptr<frame_stream>>
relay_links::state::connect(const relay_owner &Owner, instant Deadline) {
  boost::system::error_code Bad;
  const auto Host = asio::ip::make_address(Owner.Address.Host, Bad);
  if (Bad)
    co_return nullptr;
  asio::ip::tcp::socket Socket(Executor);
  const instant Latest = std::min(Deadline, base::now() + ConnectTime);
  const deadline_guard Guard(Watch, Latest, [&Socket] {
    boost::system::error_code Ignored;
    Socket.close(Ignored);
  });
  const asio::ip::tcp::endpoint To(Host, Owner.Address.Port);
  const auto [Error] = co_await Socket.async_connect(To, Token);
  if (Error || Guard.expired())
    co_return nullptr;
  co_return std::make_unique<frame_stream>(std::move(Socket));
}

base::task<std::optional<configuration_part>>
relay_links::state::nextPart(frame_stream &Stream) {
  const deadline_guard Guard(Watch, base::now() + PartTime,
                             [&Stream] { Stream.close(); });
  const auto Bytes = co_await Stream.next();
  if (!Bytes)
    co_return std::nullopt;
  co_return decodeConfigurationPart(Secret, *Bytes);
}

void relay_links::state::noteLost(way &Way, std::string_view What) {
  Way.LostAt = base::now();
  // The network may have lost track of the other connections as well.
  Way.Idle.clear();
  base::logEvent(base::log_level::Warning, base::log_part::Peers, "owner_lost",
                 {{"owner", Way.Owner.Name}, {"reason", std::string(What)}});
}

/// A statement's way over TCP; one connection serves it until its transaction
/// ends.
class relay_links::state::link final : public relay_link {
public:
  link(std::shared_ptr<state> Links, std::shared_ptr<way> To,
       base::endpoint_name Endpoint, base::customer_name Customer,
       unsigned Priority)
      : Links(std::move(Links)), To(std::move(To)),
        Endpoint(std::move(Endpoint)), Customer(std::move(Customer)),
        Priority(Priority) {}

  base::task<relay_reply> run(const link_statement &Statement,
                              instant WaitUntil, instant Deadline) override;
  std::string_view owner() const override { return To->Owner.Name; }

private:
  base::task<bool> open(instant Deadline);
  std::string requestFor(const link_statement &Statement, instant WaitUntil,
                         instant Deadline) const;
  base::task<relay_reply> converse(std::string Bytes);

  std::shared_ptr<state> Links;
  std::shared_ptr<way> To;
  base::endpoint_name Endpoint;
  base::customer_name Customer;
  unsigned Priority;
  std::unique_ptr<frame_stream> Stream;
  /// The owner holds a connection of the endpoint for a transaction on it.
  bool Held = false;
};

base::task<bool> relay_links::state::link::open(instant Deadline) {
  if (!Stream)
    Stream = Links->takeIdle(*To);
  if (!Stream)
    Stream = co_await Links->connect(To->Owner, Deadline);
  co_return Stream != nullptr;
}

std::string
relay_links::state::link::requestFor(const link_statement &Statement,
                                     instant WaitUntil,
                                     instant Deadline) const {
  relay_request Request;
  Request.Endpoint = Endpoint;
  Request.Customer = Customer;
  Request.Statement = Statement;
  Request.Priority = Priority;
  Request.TimeLeft = spanTo(Deadline - AnswerMargin);
  Request.Patience = spanTo(WaitUntil);
  return encodeRequest(Links->Secret, Request);
}

/// Sends a request and reads the reply. OwnerLost when none came.
base::task<relay_reply> relay_links::state::link::converse(std::string Bytes) {
  relay_reply Lost;
  Lost.Failure = relay_failure::OwnerLost;
  const bool Sent = co_await Stream->send(Bytes);
  if (!Sent)
    co_return Lost;
  const auto Answer = co_await Stream->next();
  auto Reply = decodeReply(Links->Secret, Answer.value_or(std::string()));
  co_return std::move(Reply).value_or(Lost);
}

base::task<relay_reply>
relay_links::state::link::run(const link_statement &Statement,
                              instant WaitUntil, instant Deadline) {
  relay_reply Lost;
  Lost.Failure = relay_failure::OwnerLost;
  const bool Opened = co_await open(Deadline);
  if (!Opened) {
    Links->noteLost(*To, "cannot connect");
    co_return Lost;
  }
  const deadline_guard Guard(Links->Watch, Deadline,
                             [this] { Stream->close(); });
  std::string Bytes = requestFor(Statement, WaitUntil, Deadline);
  relay_reply Reply = co_await converse(std::move(Bytes));
  if (Reply.Failure == relay_failure::OwnerLost) {
    Stream.reset();
    Links->noteLost(*To, Guard.expired() ? "no answer" : "broke off");
    // It was sent, at least in part, and may have run.
    Reply.Exchange.Outcome =
        Guard.expired() ? exchange_outcome::TimedOut : exchange_outcome::Broken;
    co_return Reply;
  }
  // A connection serves others only when the owner holds nothing on it for
  // sure: a transaction's is closed with whatever ended it but its own end.
  const bool Answered = Reply.Exchange.Outcome == exchange_outcome::Answered;
  const bool Ended =
      Answered && Reply.Exchange.Answer.State == transaction_state::Idle;
  const bool Free = Ended || (!Answered && !Held);
  Held = Answered && !Ended;
  if (Free && !Guard.expired())
    To->Idle.push_front(std::move(Stream));
  if (!Held)
    Stream.reset();
  co_return Reply;
}

relay_links::relay_links(asio::any_io_executor Executor, deadline_watch &Watch,
                         std::string Secret)
    : State(std::make_shared<state>(std::move(Executor), Watch,
                                    std::move(Secret))) {}

relay_links::~relay_links() = default;

bool relay_links::isUsable(std::string_view Owner, instant Now) const {
  const auto Found = State->Ways.find(Owner);
  if (Found == State->Ways.end())
    return true;
  const auto LostAt = Found->second->LostAt;
  return !LostAt || Now - *LostAt > LostPause;
}

std::unique_ptr<relay_link> relay_links::to(const relay_owner &Owner,
                                            base::endpoint_name Endpoint,
                                            base::customer_name Customer,
                                            unsigned Priority) {
  auto &Way = State->Ways[Owner.Name];
  if (!Way || Way->Owner.Address != Owner.Address) {
    // A new process under the name, or the first statement for this owner.
    Way = std::make_shared<state::way>();
    Way->Owner = Owner;
  }
  return std::make_unique<state::link>(State, Way, std::move(Endpoint),
                                       std::move(Customer), Priority);
}

base::task<stored_configuration>
relay_links::askConfiguration(relay_owner From, std::uint64_t Row) {
  const auto Links = State;
  const auto Stream = co_await Links->connect(From, base::now() + ConnectTime);
  if (!Stream)
    co_return stored_configuration();
  const configuration_request Request{Row};
  const std::string Bytes = encodeConfigurationRequest(Links->Secret, Request);
  const bool Sent = co_await Stream->send(Bytes);
  configuration_assembly Assembly;
  bool Goes = Sent;
  while (Goes && !Assembly.Complete) {
    auto Part = co_await Links->nextPart(*Stream);
    Goes = Part && addPart(Assembly, std::move(*Part));
  }
  if (!Goes)
    co_return stored_configuration();
  co_return stored_configuration{
      Assembly.Row,
      std::make_shared<const std::string>(std::move(Assembly.Text))};
}

void relay_links::closeIdle(std::string_view Owner) {
  const auto Found = State->Ways.find(Owner);
  if (Found != State->Ways.end())
    Found->second->Idle.clear();
}

} // namespace redwinggw::session
