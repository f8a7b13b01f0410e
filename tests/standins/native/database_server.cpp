#include "native/database_server.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <charconv>
#include <optional>
#include <set>

namespace redwinggw::standin {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto Token = asio::as_tuple(asio::use_awaitable);

std::string takeWord(std::string &Text) {
  const std::size_t End = Text.find(' ');
  std::string Word = Text.substr(0, End);
  Text.erase(0, End == std::string::npos ? Text.size() : End + 1);
  return Word;
}

/// One connection of a client.
struct connection {
  explicit connection(tcp::socket Socket) : Socket(std::move(Socket)) {}
  tcp::socket Socket;
  std::string Buffer;
  bool Started = false;
  bool InTransaction = false;
  bool Failed = false;
  bool ReadOnly = false;
  std::vector<log_entry> Pending;
  std::map<std::string, std::string> Prepared;
};

std::optional<session::log_point> readAfter(std::string &Text) {
  if (!Text.starts_with("AFTER "))
    return std::nullopt;
  takeWord(Text);
  const std::string Point = takeWord(Text);
  session::log_point Read;
  const std::size_t Dot = Point.find('.');
  Read.Term = std::stoull(Point.substr(0, Dot));
  Read.Position = std::stoull(Point.substr(Dot + 1));
  return Read;
}

} // namespace

struct database_server::state
    : std::enable_shared_from_this<database_server::state> {
  state(asio::any_io_executor Executor, database_group &Group, std::string Name)
      : Executor(Executor), Group(Group), Name(std::move(Name)),
        Acceptor(Executor, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    Address = {"127.0.0.1", Acceptor.local_endpoint().port()};
  }

  simulated_database &self() { return *findDatabase(Group, Name); }
  base::task<void> accept();
  base::task<void> serve(std::shared_ptr<connection> Client);
  base::task<bool> awaitReplicas(std::size_t Entries);
  base::task<bool> sendAnswer(std::shared_ptr<connection> Client,
                              std::string Answer);
  base::task<void> sendLater(std::shared_ptr<connection> Client,
                             std::string Answer, base::milliseconds Delay);
  std::string start(connection &Client, std::string Fields);
  std::string query(connection &Client, std::string Fields, bool &Lost);
  std::string run(connection &Client, const std::string &Id, std::string Text);
  std::string runData(connection &Client, const std::string &Id,
                      const std::string &Text);
  std::string commit(connection &Client, const std::string &Id);
  void append(log_entry Entry, const std::string &Id);
  void record(const std::string &Id, const std::string &Text,
              std::vector<std::string> Rows);
  std::string statusRow() const;
  std::string fail(connection &Client, const std::string &Code);
  std::string ready(const connection &Client);

  asio::any_io_executor Executor;
  database_group &Group;
  std::string Name;
  tcp::acceptor Acceptor;
  http::address Address;
  std::set<std::shared_ptr<connection>> Clients;
};

base::task<void> database_server::state::accept() {
  const auto Self = shared_from_this();
  while (Acceptor.is_open()) {
    auto [Error, Socket] = co_await Acceptor.async_accept(Token);
    if (Error || self().Down)
      continue;
    const auto Client = std::make_shared<connection>(std::move(Socket));
    Clients.insert(Client);
    ++self().Connections;
    asio::co_spawn(Executor, serve(Client), asio::detached);
  }
}

base::task<void>
database_server::state::serve(std::shared_ptr<connection> Client) {
  const auto Self = shared_from_this();
  while (true) {
    const auto [Error, Size] = co_await asio::async_read_until(
        Client->Socket, asio::dynamic_buffer(Client->Buffer), "\r\n", Token);
    if (Error)
      break;
    std::string Line = Client->Buffer.substr(0, Size - 2);
    Client->Buffer.erase(0, Size);
    const std::string Word = takeWord(Line);
    if (Word == "BYE")
      break;
    ++self().Requests;
    bool Lost = false;
    const std::string Answer =
        Client->Started ? query(*Client, Line, Lost) : start(*Client, Line);
    if (Lost)
      break;
    // A status is reported also by a primary that replicates to nobody.
    bool Replicated = true;
    if (!Line.starts_with("- "))
      Replicated = co_await awaitReplicas(self().Log.size());
    if (!Replicated || self().Down)
      break;
    const bool Sent = co_await sendAnswer(Client, Answer);
    if (!Sent || !Client->Started)
      break;
  }
  boost::system::error_code Ignored;
  Client->Socket.close(Ignored);
  if (Clients.erase(Client) != 0)
    --self().Connections;
}

/// Sends an answer subject to the group's faults. False when the connection
/// ends with it.
base::task<bool>
database_server::state::sendAnswer(std::shared_ptr<connection> Client,
                                   std::string Answer) {
  const answer_plan Plan = drawPlan(Group.Faults, Answer.size(), Group.Random);
  if (Plan.Silent)
    co_return true;
  if (Plan.CutAfter)
    Answer.resize(*Plan.CutAfter);
  const auto [Error, Sent] =
      co_await asio::async_write(Client->Socket, asio::buffer(Answer), Token);
  if (Error || Plan.CutAfter)
    co_return false;
  if (Plan.RepeatAfter)
    asio::co_spawn(Executor,
                   sendLater(Client, std::move(Answer), *Plan.RepeatAfter),
                   asio::detached);
  Group.Repeats += Plan.RepeatAfter ? 1 : 0;
  co_return true;
}

base::task<void>
database_server::state::sendLater(std::shared_ptr<connection> Client,
                                  std::string Answer,
                                  base::milliseconds Delay) {
  const auto Self = shared_from_this();
  asio::steady_timer Timer(Executor, Delay);
  co_await Timer.async_wait(Token);
  boost::system::error_code Ignored;
  // At once, so that it stands between two answers and not inside of one.
  asio::write(Client->Socket, asio::buffer(Answer), Ignored);
}

/// Waits until the commits that an answer acknowledges have been replicated.
/// False if this primary is replaced or stops before.
base::task<bool> database_server::state::awaitReplicas(std::size_t Entries) {
  asio::steady_timer Timer(Executor);
  if (!self().Primary)
    co_return true;
  while (!isReplicated(Group, self(), Entries)) {
    Timer.expires_after(base::milliseconds(1));
    co_await Timer.async_wait(Token);
    replicate(Group, base::now());
    if (!self().Primary || self().Down)
      co_return false;
  }
  co_return true;
}

std::string database_server::state::ready(const connection &Client) {
  replicate(Group, base::now());
  const auto Point = pointOf(self());
  const char *State = Client.Failed ? "E" : Client.InTransaction ? "T" : "I";
  return std::string("READY ") + State + " " + std::to_string(Point.Term) +
         "." + std::to_string(Point.Position) + "\r\n";
}

std::string database_server::state::start(connection &Client,
                                          std::string Fields) {
  const std::string Service = takeWord(Fields);
  Group.Customers.insert(takeWord(Fields));
  if (Service != Group.Service || (!Fields.empty() && Fields != Name))
    return "ERROR MISROUTED " + Name + "\r\n";
  if (self().Connections > Group.ConnectionLimit)
    return "ERROR TOOMANY " + Name + "\r\n";
  Client.Started = true;
  return ready(Client);
}

std::string database_server::state::fail(connection &Client,
                                         const std::string &Code) {
  Client.Failed = Client.InTransaction;
  return "ERROR " + Code + " " + Name + "\r\n";
}

std::string database_server::state::statusRow() const {
  simulated_database &Own = *findDatabase(Group, Name);
  replicate(Group, base::now());
  const auto Point = pointOf(Own);
  return std::string("ROW ") + (Own.Primary ? "primary" : "replica") + " " +
         std::to_string(Own.Term) + " " + std::to_string(Point.Term) + "." +
         std::to_string(Point.Position) + " 0 0 0 " +
         std::to_string(Own.Connections) + "\r\nDONE -\r\n";
}

std::string database_server::state::query(connection &Client,
                                          std::string Fields, bool &Lost) {
  const std::string Id = takeWord(Fields);
  const std::string Answer = run(Client, Id, std::move(Fields));
  if (Id != "-" && self().LoseAnswers > 0) {
    --self().LoseAnswers;
    Lost = true;
  }
  return Answer + ready(Client);
}

std::string database_server::state::run(connection &Client,
                                        const std::string &Id,
                                        std::string Text) {
  replicate(Group, base::now());
  if (const auto After = readAfter(Text); After && pointOf(self()) < *After)
    return fail(Client, "LAGGING");
  const std::string Whole = Text;
  const std::string Verb = takeWord(Text);
  const bool Refusable =
      Verb != "STATUS" && Verb != "DEMOTE" && Verb != "ROLLBACK";
  if (Refusable && drawRefusal(Group.Faults, Group.Random))
    return fail(Client, "BUSY");
  if (Verb == "DEMOTE" && self().Term < std::stoull(Text))
    self().Primary = false;
  if (Verb == "STATUS" || Verb == "DEMOTE")
    return statusRow();
  if (Verb == "ROLLBACK") {
    Client.InTransaction = Client.Failed = false;
    Client.Pending.clear();
    return "DONE -\r\n";
  }
  if (Client.Failed)
    return fail(Client, "MALFORMED");
  if (Verb == "BEGIN") {
    Client.ReadOnly = Text == "READ";
    if (!Client.ReadOnly && !self().Primary)
      return fail(Client, "READONLY");
    Client.InTransaction = true;
    return "DONE -\r\n";
  }
  if (Verb == "PREPARE") {
    const std::string Prepared = takeWord(Text);
    Client.Prepared[Prepared] = Text;
    return "DONE -\r\n";
  }
  if (Verb == "SET" || Verb == "RESET") {
    if (Verb == "RESET")
      Client.Prepared.clear();
    return "DONE -\r\n";
  }
  if (Verb == "COMMIT")
    return commit(Client, Id);
  return runData(Client, Id, Whole);
}

/// Commits \p Entry here by the statement \p Id.
void database_server::state::append(log_entry Entry, const std::string &Id) {
  if (self().Term < Group.Term) {
    ++Group.WritesAtFormerPrimaries;
    Group.FormerPrimaryWrites.push_back({Name, Id, base::now()});
  }
  Entry.CommittedAt = base::now();
  Entry.Term = self().Term;
  self().Log.push_back(std::move(Entry));
}

void database_server::state::record(const std::string &Id,
                                    const std::string &Text,
                                    std::vector<std::string> Rows) {
  ++Group.Runs[Id];
  Group.RunTexts[Id].push_back({Text, std::move(Rows)});
  ++self().Statements;
}

std::string database_server::state::runData(connection &Client,
                                            const std::string &Id,
                                            const std::string &Text) {
  std::string Operands = Text;
  const std::string Verb = takeWord(Operands);
  bool Writes = Verb == "WRITE";
  if (Verb == "EXECUTE") {
    const auto Found = Client.Prepared.find(takeWord(Operands));
    if (Found == Client.Prepared.end())
      return fail(Client, "UNKNOWN");
    Writes = Found->second.starts_with("WRITE");
  }
  if (Writes && (!self().Primary || Client.ReadOnly))
    return fail(Client, "READONLY");
  std::string Signature = "DONE sig." + Id + "\r\n";
  const std::string Item = takeWord(Operands);
  if (!Writes) {
    const std::string Value = valueAt(self(), Item);
    record(Id, Text, {Value});
    return "ROW " + Value + "\r\n" + Signature;
  }
  record(Id, Text, {});
  log_entry Entry{Item, Operands, base::now(), Id};
  if (Client.InTransaction)
    Client.Pending.push_back(std::move(Entry));
  else
    append(std::move(Entry), Id);
  return Signature;
}

std::string database_server::state::commit(connection &Client,
                                           const std::string &Id) {
  const bool Wrote = !Client.Pending.empty();
  if (Wrote && !self().Primary)
    return fail(Client, "READONLY");
  record(Id, "COMMIT", {});
  for (log_entry &Entry : Client.Pending)
    append(std::move(Entry), Id);
  Client.Pending.clear();
  Client.InTransaction = false;
  return "DONE sig." + Id + "\r\n";
}

database_server::database_server(asio::any_io_executor Executor,
                                 database_group &Group, std::string Name)
    : State(std::make_shared<state>(Executor, Group, std::move(Name))) {
  asio::co_spawn(Executor, State->accept(), asio::detached);
}

database_server::~database_server() {
  boost::system::error_code Ignored;
  State->Acceptor.close(Ignored);
  dropConnections();
}

const http::address &database_server::address() const { return State->Address; }

void database_server::rename(std::string Name) {
  State->Name = std::move(Name);
}

void database_server::dropConnections() {
  for (const auto &Client : State->Clients) {
    boost::system::error_code Ignored;
    Client->Socket.close(Ignored);
  }
}

} // namespace redwinggw::standin
