#include "database.hpp"

#include <algorithm>
#include <map>

namespace review {
namespace {

std::string takeWord(std::string &Text) {
  const std::size_t End = Text.find(' ');
  std::string Word = Text.substr(0, End);
  Text.erase(0, End == std::string::npos ? Text.size() : End + 1);
  return Word;
}

/// One connection of a client.
struct connection {
  std::shared_ptr<tcp::socket> Socket;
  std::string Buffer;
  bool Started = false;
  bool Open = false;
  bool Failed = false;
  bool ReadOnly = false;
  std::vector<log_entry> Pending;
  std::map<std::string, std::string> Prepared;
};

std::string fail(connection &Client, const database &Own,
                 const std::string &Code) {
  Client.Failed = Client.Open;
  return "ERROR " + Code + " " + Own.Name + "\r\n";
}

std::string ready(const connection &Client, const database &Own) {
  const char *State = Client.Failed ? "E" : Client.Open ? "T" : "I";
  return std::string("READY ") + State + " " + Own.position() + "\r\n";
}

std::size_t applied(const database &Own) {
  if (Own.Primary)
    return Own.Log.size();
  const auto Latest = steady::now() - Own.Group.Lag;
  return static_cast<std::size_t>(
      std::ranges::upper_bound(Own.ReceivedAt, Latest) -
      Own.ReceivedAt.begin());
}

/// Whether the log that reads see has the position TERM.NUMBER.
bool covers(const database &Own, const std::string &Point) {
  const std::size_t Dot = Point.find('.');
  const auto Term = static_cast<unsigned>(std::stoul(Point.substr(0, Dot)));
  const std::size_t Number = std::stoul(Point.substr(Dot + 1));
  return std::pair(Own.Term, applied(Own)) >= std::pair(Term, Number);
}

std::string valueAt(const database &Own, const std::string &Item) {
  for (std::size_t At = applied(Own); At > 0; --At)
    if (Own.Log[At - 1]->Item == Item)
      return Own.Log[At - 1]->Data;
  return "none";
}

/// Commits, and waits until enough replicas have received it.
task<> commit(database &Own, std::vector<log_entry> Entries) {
  for (log_entry &Entry : Entries) {
    Own.Log.push_back(std::make_shared<const log_entry>(std::move(Entry)));
    Own.ReceivedAt.push_back(steady::now());
  }
  const std::size_t Count = Own.Log.size();
  const log_entry Last = *Own.Log.back();
  Own.Group.replicate(Own, Count);
  while (Own.Group.SyncReplicas > 0 && !Own.Group.received(Own, Count))
    co_await pause(ms(1));
  if (Own.Group.OnCommit)
    Own.Group.OnCommit(Own, Last);
}

task<std::string> runData(connection &Client, database &Own, std::string Id,
                          std::string Verb, std::string Text) {
  bool Writes = Verb == "WRITE";
  if (Verb == "EXECUTE") {
    const auto Found = Client.Prepared.find(takeWord(Text));
    if (Found == Client.Prepared.end())
      co_return fail(Client, Own, "UNKNOWN");
    Writes = Found->second.starts_with("WRITE");
  }
  const bool LostLead = Client.Open && !Client.ReadOnly && !Own.Primary;
  if (LostLead || (Writes && (!Own.Primary || Client.ReadOnly)))
    co_return fail(Client, Own, "READONLY");
  co_await pause(Own.Group.Work);
  const std::string Item = takeWord(Text);
  if (Own.Group.OnRun)
    Own.Group.OnRun(Own, Id, Verb + " " + Item);
  const std::string Done = "DONE sig." + Own.Name + "." + Id + "\r\n";
  if (!Writes)
    co_return "ROW " + valueAt(Own, Item) + "\r\n" + Done;
  if (!Own.Primary)
    co_return fail(Client, Own, "READONLY");
  std::vector<log_entry> Entries;
  Entries.push_back({Id, Item, Text});
  if (Client.Open)
    Client.Pending.push_back(Entries.front());
  else
    co_await commit(Own, std::move(Entries));
  co_return Done;
}

task<std::string> runCommit(connection &Client, database &Own, std::string Id) {
  if (!Client.Pending.empty() && !Own.Primary)
    co_return fail(Client, Own, "READONLY");
  co_await pause(Own.Group.Work);
  if (Own.Group.OnRun)
    Own.Group.OnRun(Own, Id, "COMMIT");
  if (!Client.Pending.empty())
    co_await commit(Own, std::move(Client.Pending));
  Client.Pending.clear();
  Client.Open = false;
  co_return "DONE sig." + Own.Name + "." + Id + "\r\n";
}

std::string statusRow(const database &Own) {
  return std::string("ROW ") + (Own.Primary ? "primary " : "replica ") +
         std::to_string(Own.Term) + " " + Own.position() + " 0 " +
         std::to_string(Own.Group.Lag.count()) + " 0 " +
         std::to_string(Own.Sockets.size()) + "\r\nDONE -\r\n";
}

task<std::string> run(connection &Client, database &Own, std::string Id,
                      std::string Text) {
  if (Text.starts_with("AFTER ")) {
    takeWord(Text);
    if (!covers(Own, takeWord(Text)))
      co_return fail(Client, Own, "LAGGING");
  }
  const std::string Verb = takeWord(Text);
  if (Verb == "STATUS")
    co_return statusRow(Own);
  if (Verb == "ROLLBACK") {
    Client.Open = Client.Failed = false;
    Client.Pending.clear();
    co_return "DONE -\r\n";
  }
  if (Client.Failed)
    co_return fail(Client, Own, "MALFORMED");
  if (Verb == "BEGIN") {
    Client.ReadOnly = Text == "READ";
    if (!Client.ReadOnly && !Own.Primary)
      co_return fail(Client, Own, "READONLY");
    Client.Open = true;
    co_return "DONE -\r\n";
  }
  if (Verb == "RESET")
    Client.Prepared.clear();
  if (Verb == "PREPARE") {
    const std::string Name = takeWord(Text);
    Client.Prepared[Name] = Text;
  }
  if (Verb == "SET" || Verb == "RESET" || Verb == "PREPARE")
    co_return "DONE -\r\n";
  if (Verb == "COMMIT")
    co_return co_await runCommit(Client, Own, std::move(Id));
  co_return co_await runData(Client, Own, std::move(Id), Verb, std::move(Text));
}

task<> serve(std::shared_ptr<database> Own,
             std::shared_ptr<tcp::socket> Socket) {
  connection Client;
  Client.Socket = Socket;
  const unsigned Generation = Own->Generation;
  while (true) {
    const auto [Error, Size] = co_await asio::async_read_until(
        *Socket, asio::dynamic_buffer(Client.Buffer), "\r\n", Token);
    while (Own->Dark)
      co_await pause(ms(1000));
    if (Error)
      break;
    std::string Line = Client.Buffer.substr(0, Size - 2);
    Client.Buffer.erase(0, Size);
    const std::string Word = takeWord(Line);
    std::string Answer;
    bool Last = Word == "BYE";
    if (Word == "START") {
      const std::string Service = takeWord(Line);
      const std::string Who = takeWord(Line);
      if (Own->Group.OnStart)
        Own->Group.OnStart(*Own, Who);
      Last =
          Service != Own->Group.Service || (!Line.empty() && Line != Own->Name);
      co_await pause(Own->Group.NewConnection);
      Answer =
          Last ? "ERROR MISROUTED " + Own->Name + "\r\n" : ready(Client, *Own);
    } else if (Word == "QUERY") {
      std::string Id = takeWord(Line);
      if (Own->Group.OnRequest)
        Own->Group.OnRequest(*Own, Id, Line);
      Answer = co_await run(Client, *Own, std::move(Id), std::move(Line));
      Answer += ready(Client, *Own);
    }
    while (Own->Dark)
      co_await pause(ms(1000));
    // What was running when the database crashed is not answered.
    if (Generation != Own->Generation)
      break;
    const auto [WriteError, Sent] =
        co_await asio::async_write(*Socket, asio::buffer(Answer), Token);
    if (WriteError || Last)
      break;
  }
  boost::system::error_code Ignored;
  Socket->close(Ignored);
  Own->Sockets.erase(Socket);
}

task<> listen(std::shared_ptr<database> Own) {
  const unsigned Generation = Own->Generation;
  while (Generation == Own->Generation) {
    auto [Error, Socket] = co_await Own->Acceptor->async_accept(Token);
    if (Error)
      co_return;
    Socket.set_option(tcp::no_delay(true));
    const auto Shared = std::make_shared<tcp::socket>(std::move(Socket));
    Own->Sockets.insert(Shared);
    asio::co_spawn(Own->Context, serve(Own, Shared), asio::detached);
  }
}

} // namespace

task<> pause(ms Time) {
  asio::steady_timer Timer(co_await asio::this_coro::executor, Time);
  co_await Timer.async_wait(Token);
}

database::database(asio::io_context &Context, group &Group, std::string Name,
                   std::string Zone)
    : Context(Context), Group(Group), Name(std::move(Name)),
      Zone(std::move(Zone)), Address(asio::ip::address_v4::loopback(), 0) {}

void database::start() {
  Acceptor = std::make_unique<tcp::acceptor>(Context, Address);
  Address = Acceptor->local_endpoint();
  Up = true;
  Primary = Group.Current == Name;
  asio::co_spawn(Context, listen(shared_from_this()), asio::detached);
}

void database::crash() {
  ++Generation;
  Up = false;
  boost::system::error_code Ignored;
  Acceptor->close(Ignored);
  for (const auto &Socket : Sockets)
    Socket->close(Ignored);
}

void database::goDark() {
  ++Generation;
  Up = false;
  Dark = true;
  boost::system::error_code Ignored;
  Acceptor->close(Ignored);
  Acceptor = std::make_unique<tcp::acceptor>(Context);
  Acceptor->open(tcp::v4());
  Acceptor->set_option(tcp::acceptor::reuse_address(true));
  Acceptor->bind(Address);
  Acceptor->listen(0);
  // With its queue full the kernel drops further requests to connect.
  for (int Count = 0; Count < 3; ++Count) {
    Fillers.push_back(std::make_unique<tcp::socket>(Context));
    Fillers.back()->async_connect(Address, [](boost::system::error_code) {});
  }
}

std::string database::position() const {
  return std::to_string(Term) + "." + std::to_string(Log.size());
}

database &group::add(std::string Name, std::string Zone) {
  const auto Added =
      std::make_shared<database>(Context, *this, std::move(Name), Zone);
  if (Databases.empty())
    Current = Added->Name;
  Databases.push_back(Added);
  Added->start();
  return *Added;
}

database *group::find(std::string_view Name) {
  for (const auto &Database : Databases)
    if (Database->Name == Name)
      return Database.get();
  return nullptr;
}

bool group::has(const database &Database, std::string_view Id) {
  return std::ranges::any_of(Database.Log, [&](const log_entry_ptr &Entry) {
    return Entry->Id == Id;
  });
}

bool group::promote(const std::string &Name) {
  database *Next = find(Name);
  if (Next == nullptr || !Next->Up)
    return false;
  if (Current == Name)
    return true;
  asio::co_spawn(
      Context,
      [](group &Group, database &Next) -> task<> {
        co_await pause(Group.PromoteTime);
        if (!Next.Up || Group.Current == Next.Name)
          co_return;
        database &Old = Group.current();
        Group.Current = Next.Name;
        Next.Primary = true;
        Next.Term = ++Group.Term;
        if (Group.OnPromoted)
          Group.OnPromoted(Old, Next);
        // It leads until a second after it can reach the new primary.
        co_await pause(ms(1000));
        if (Group.Current != Old.Name)
          Old.Primary = false;
      }(*this, *Next),
      asio::detached);
  return true;
}

void group::follow(database &Replica, database &From, std::size_t Count) {
  const bool Follows = Replica.Up && !Replica.Deaf && From.Up &&
                       !Replica.Primary && Replica.Term <= From.Term &&
                       &Replica != &From;
  if (!Follows || Count > From.Log.size())
    return;
  std::size_t Common = std::min(Replica.Log.size(), From.Log.size());
  while (Common > 0 && Replica.Log[Common - 1] != From.Log[Common - 1])
    --Common;
  // What the new primary lacks is rolled back.
  if (Replica.Log.size() > Common &&
      (Replica.Term < From.Term ||
       Common < std::min(Replica.Log.size(), From.Log.size()))) {
    Replica.Log.resize(Common);
    Replica.ReceivedAt.resize(Common);
  }
  Replica.Term = From.Term;
  for (std::size_t At = Replica.Log.size(); At < Count; ++At) {
    Replica.Log.push_back(From.Log[At]);
    Replica.ReceivedAt.push_back(steady::now());
  }
}

void group::replicate(database &From, std::size_t Count) {
  for (const auto &Replica : Databases)
    asio::co_spawn(
        Context,
        [](group &Group, database &Replica, database &From,
           std::size_t Count) -> task<> {
          co_await pause(Replica.Delay);
          Group.follow(Replica, From, Count);
        }(*this, *Replica, From, Count),
        asio::detached);
}

bool group::received(const database &From, std::size_t Count) const {
  return std::ranges::any_of(Databases, [&](const auto &Replica) {
    return Replica.get() != &From && Replica->Log.size() >= Count &&
           Replica->Log[Count - 1] == From.Log[Count - 1];
  });
}

task<> group::run(store &Store) {
  std::map<std::string, std::pair<bool, bool>> Reported;
  while (true) {
    for (const auto &Database : Databases) {
      database &Own = *Database;
      const auto Sent = steady::now() - Own.Delay;
      const auto &Times = current().ReceivedAt;
      follow(Own, current(),
             static_cast<std::size_t>(std::ranges::upper_bound(Times, Sent) -
                                      Times.begin()));
      const auto Silence = steady::now() - Own.LastBeat;
      const std::pair State(Own.Primary, Own.Draining);
      const bool Due =
          Silence >= HeartbeatInterval || Reported[Own.Name] != State;
      if (Own.Up && Due) {
        Own.LastBeat = steady::now();
        Reported[Own.Name] = State;
        const std::string Address =
            "127.0.0.1:" + std::to_string(Own.Address.port());
        Store.put("servers", Own.Name,
                  json::serialize(json::object{
                      {"service", Service},
                      {"address", Address},
                      {"zone", Own.Zone},
                      {"version", "v1"},
                      {"slots", 5},
                      {"state", Own.Draining ? "draining" : "ready"},
                      {"cold_remaining_ms", 0},
                      {"database_role", Own.Primary ? "primary" : "replica"},
                      {"sequence", ++Own.Sequence},
                      {"born", 1700000000000}}));
      }
      if (!Own.Up && Silence > 3 * HeartbeatInterval)
        Store.remove("servers", Own.Name);
    }
    co_await pause(ms(50));
  }
}

} // namespace review
