#include "redwinggw/session/forwarding_client.hpp"

#include "frame_stream.hpp"

#include "redwinggw/base/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace redwinggw::session {
namespace {

namespace asio = boost::asio;
using base::instant;
using base::milliseconds;

constexpr auto Token = asio::as_tuple(asio::use_awaitable);
/// How long an owner is not used after it left a statement without an answer;
/// by then its heartbeats show whether it is up.
constexpr milliseconds LostPause{1000};
/// How long an answer shows that an owner is up although its heartbeats are
/// missing: as long as the heartbeats of one that is up may be missing.
constexpr milliseconds AliveFor{650};
/// A connection between instances is established within a few round trips.
constexpr milliseconds ConnectTime{200};
/// How much earlier the owner gives up than the caller's instance does, so that
/// a late endpoint can be told from a late owner.
constexpr milliseconds AnswerMargin{40};
/// A chunk of a configuration arrives by then, or the instance is lost.
constexpr milliseconds ChunkTimeout{1000};

milliseconds spanTo(instant Until) {
  const auto Left = std::chrono::floor<milliseconds>(Until - base::now());
  return std::max(Left, milliseconds(0));
}

} // namespace

struct forwarding_client::state : std::enable_shared_from_this<state> {
  class link;

  /// An owner, its idle connections, the links to it, and when it was last
  /// lost and answered last.
  struct owner_connections {
    connection_owner Owner;
    std::list<std::unique_ptr<frame_stream>> Idle;
    std::set<link *> Links;
    std::optional<instant> LostAt;
    std::optional<instant> AnsweredAt;
  };

  state(asio::any_io_executor Executor, deadline_watch &Watch,
        std::string Secret)
      : Executor(std::move(Executor)), Watch(Watch), Secret(std::move(Secret)) {
  }

  std::unique_ptr<frame_stream> takeIdle(owner_connections &Connections);
  base::task<std::unique_ptr<frame_stream>>
  connect(const connection_owner &Owner, instant Deadline);
  base::task<std::optional<transfer_chunk>> nextChunk(frame_stream &Stream);
  void noteLost(owner_connections &Connections, std::string_view What);

  asio::any_io_executor Executor;
  deadline_watch &Watch;
  std::string Secret;
  std::map<base::instance_name, std::shared_ptr<owner_connections>, std::less<>>
      Owners;
};

std::unique_ptr<frame_stream>
forwarding_client::state::takeIdle(owner_connections &Connections) {
  while (!Connections.Idle.empty()) {
    auto Stream = std::move(Connections.Idle.front());
    Connections.Idle.pop_front();
    if (Stream->isQuiet())
      return Stream;
  }
  return nullptr;
}

base::task<std::unique_ptr<frame_stream>>
forwarding_client::state::connect(const connection_owner &Owner,
                                  instant Deadline) {
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
  const asio::ip::tcp::endpoint Remote(Host, Owner.Address.Port);
  const auto [Error] = co_await Socket.async_connect(Remote, Token);
  if (Error || Guard.expired())
    co_return nullptr;
  co_return std::make_unique<frame_stream>(std::move(Socket));
}

base::task<std::optional<transfer_chunk>>
forwarding_client::state::nextChunk(frame_stream &Stream) {
  const deadline_guard Guard(Watch, base::now() + ChunkTimeout,
                             [&Stream] { Stream.close(); });
  const auto Bytes = co_await Stream.next();
  if (!Bytes)
    co_return std::nullopt;
  co_return decodeTransferChunk(Secret, *Bytes);
}

void forwarding_client::state::noteLost(owner_connections &Connections,
                                        std::string_view What) {
  Connections.LostAt = base::now();
  // The network may have dropped the other connections as well.
  Connections.Idle.clear();
  base::logEvent(
      base::log_level::Warning, base::log_part::Peers, "owner_lost",
      {{"owner", Connections.Owner.Name}, {"reason", std::string(What)}});
}

/// A forwarding link over TCP; it keeps one connection until its transaction
/// ends.
class forwarding_client::state::link final : public forwarding_link {
public:
  link(std::shared_ptr<state> Client,
       std::shared_ptr<owner_connections> Connections,
       base::endpoint_name Endpoint, base::customer_name Customer,
       unsigned Priority)
      : Client(std::move(Client)), Connections(std::move(Connections)),
        Endpoint(std::move(Endpoint)), Customer(std::move(Customer)),
        Priority(Priority) {
    this->Connections->Links.insert(this);
  }
  ~link() override { Connections->Links.erase(this); }

  base::task<forwarding_reply> run(const link_statement &Statement,
                                   instant WaitUntil,
                                   instant Deadline) override;
  std::string_view owner() const override { return Connections->Owner.Name; }
  std::string_view zone() const override { return Connections->Owner.Zone; }

  /// The owner does not answer any more. False if that was known.
  bool abandon() {
    if (std::exchange(Abandoned, true))
      return false;
    if (Stream)
      Stream->close();
    return true;
  }

private:
  base::task<bool> open(instant Deadline);
  std::string requestFor(const link_statement &Statement, instant WaitUntil,
                         instant Deadline) const;
  base::task<forwarding_reply> sendAndReceive(std::string Bytes);

  std::shared_ptr<state> Client;
  std::shared_ptr<owner_connections> Connections;
  base::endpoint_name Endpoint;
  base::customer_name Customer;
  unsigned Priority;
  std::unique_ptr<frame_stream> Stream;
  /// The owner has pinned a connection to the endpoint for an open transaction.
  bool Held = false;
  bool Abandoned = false;
};

base::task<bool> forwarding_client::state::link::open(instant Deadline) {
  if (!Stream)
    Stream = Client->takeIdle(*Connections);
  if (!Stream)
    Stream = co_await Client->connect(Connections->Owner, Deadline);
  co_return Stream != nullptr;
}

std::string
forwarding_client::state::link::requestFor(const link_statement &Statement,
                                           instant WaitUntil,
                                           instant Deadline) const {
  forwarding_request Request;
  Request.Endpoint = Endpoint;
  Request.Customer = Customer;
  Request.Statement = Statement;
  Request.Priority = Priority;
  Request.TimeLeft = spanTo(Deadline - AnswerMargin);
  Request.SlotWait = spanTo(WaitUntil);
  return encodeRequest(Client->Secret, Request);
}

/// Sends a request and reads the reply. OwnerLost if none arrives.
base::task<forwarding_reply>
forwarding_client::state::link::sendAndReceive(std::string Bytes) {
  forwarding_reply Lost;
  Lost.Failure = forwarding_failure::OwnerLost;
  const bool Sent = co_await Stream->send(Bytes);
  if (!Sent)
    co_return Lost;
  const auto Answer = co_await Stream->next();
  auto Reply = decodeReply(Client->Secret, Answer.value_or(std::string()));
  co_return std::move(Reply).value_or(Lost);
}

base::task<forwarding_reply>
forwarding_client::state::link::run(const link_statement &Statement,
                                    instant WaitUntil, instant Deadline) {
  forwarding_reply Lost;
  Lost.Failure = forwarding_failure::OwnerLost;
  // What a transaction had pinned is gone with its connection.
  if (Abandoned)
    co_return Lost;
  const bool Opened = co_await open(Deadline);
  if (Abandoned)
    co_return Lost;
  if (!Opened) {
    Client->noteLost(*Connections, "cannot connect");
    co_return Lost;
  }
  const deadline_guard Guard(Client->Watch, Deadline,
                             [this] { Stream->close(); });
  std::string Bytes = requestFor(Statement, WaitUntil, Deadline);
  if (Bytes.size() > LongestFrame)
    co_return refusedAsTooLong();
  forwarding_reply Reply = co_await sendAndReceive(std::move(Bytes));
  if (Reply.Failure == forwarding_failure::OwnerLost) {
    Stream.reset();
    if (!Abandoned)
      Client->noteLost(*Connections,
                       Guard.expired() ? "no answer" : "connection broke");
    // It was sent, at least in part, and may have run.
    Reply.Exchange.Outcome =
        Guard.expired() ? exchange_outcome::TimedOut : exchange_outcome::Broken;
    co_return Reply;
  }
  Connections->AnsweredAt = base::now();
  // A connection is reused only if the owner certainly has nothing pinned for
  // it: that of a transaction is closed after every end but its commit or
  // rollback.
  const bool Answered = Reply.Exchange.Outcome == exchange_outcome::Answered;
  const bool Ended =
      Answered && Reply.Exchange.Answer.State == transaction_state::Idle;
  const bool Free = Ended || (!Answered && !Held);
  Held = Answered && !Ended;
  if (Free && !Guard.expired())
    Connections->Idle.push_front(std::move(Stream));
  if (!Held)
    Stream.reset();
  co_return Reply;
}

forwarding_client::forwarding_client(asio::any_io_executor Executor,
                                     deadline_watch &Watch, std::string Secret)
    : State(std::make_shared<state>(std::move(Executor), Watch,
                                    std::move(Secret))) {}

forwarding_client::~forwarding_client() = default;

bool forwarding_client::isUsable(std::string_view Owner, instant Now) const {
  const auto Found = State->Owners.find(Owner);
  if (Found == State->Owners.end())
    return true;
  const auto LostAt = Found->second->LostAt;
  return !LostAt || Now - *LostAt > LostPause;
}

std::unique_ptr<forwarding_link>
forwarding_client::linkTo(const connection_owner &Owner,
                          base::endpoint_name Endpoint,
                          base::customer_name Customer, unsigned Priority) {
  auto &Connections = State->Owners[Owner.Name];
  if (!Connections || Connections->Owner.Address != Owner.Address ||
      Connections->Owner.Zone != Owner.Zone) {
    // Another process under the name, or the first statement for this owner.
    Connections = std::make_shared<state::owner_connections>();
    Connections->Owner = Owner;
  }
  return std::make_unique<state::link>(State, Connections, std::move(Endpoint),
                                       std::move(Customer), Priority);
}

base::task<transferred_state>
forwarding_client::fetchState(connection_owner From, transfer_request Request) {
  const auto Client = State;
  const auto Stream = co_await Client->connect(From, base::now() + ConnectTime);
  if (!Stream)
    co_return transferred_state();
  const std::string Bytes = encodeTransferRequest(Client->Secret, Request);
  const bool Sent = co_await Stream->send(Bytes);
  transfer_assembly Assembly;
  bool Goes = Sent;
  while (Goes && !Assembly.Complete) {
    auto Chunk = co_await Client->nextChunk(*Stream);
    Goes = Chunk && appendChunk(Assembly, std::move(*Chunk));
  }
  if (!Goes)
    co_return transferred_state();
  transferred_state Fetched;
  Fetched.Version = Assembly.Version;
  Fetched.Text = std::make_shared<const std::string>(std::move(Assembly.Text));
  Fetched.Base = Assembly.Delta ? Request.Version : 0;
  co_return Fetched;
}

void forwarding_client::abandon(std::string_view Owner, instant Now) {
  const auto Found = State->Owners.find(Owner);
  if (Found == State->Owners.end())
    return;
  const auto Connections = Found->second;
  const auto Answered = Connections->AnsweredAt;
  if (Answered && Now - *Answered < AliveFor)
    return;
  Connections->Idle.clear();
  const auto Ended = std::ranges::count_if(
      Connections->Links, [](state::link *Link) { return Link->abandon(); });
  if (Ended > 0)
    State->noteLost(*Connections, "not heard");
}

void forwarding_client::closeIdle(std::string_view Owner) {
  const auto Found = State->Owners.find(Owner);
  if (Found != State->Owners.end())
    Found->second->Idle.clear();
}

} // namespace redwinggw::session
