#include "world.hpp"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <sstream>

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;

constexpr const char *Key = "key-of-the-only-tenant";
const std::vector<std::string> Zones{"cluj-a", "cluj-b", "sibiu-a", "brasov-a"};
constexpr const char *Region = "ro-centru";

/// A port that is free at all of the instances' addresses.
std::uint16_t freePort(std::set<std::uint16_t> &Taken) {
  asio::io_context Context;
  while (true) {
    tcp::acceptor Any(Context, {asio::ip::address_v4::any(), 0});
    const std::uint16_t Port = Any.local_endpoint().port();
    if (Taken.insert(Port).second)
      return Port;
  }
}

std::string replaceAll(std::string Text, const std::string &What,
                       const std::string &By) {
  for (std::size_t At = Text.find(What); At != std::string::npos;
       At = Text.find(What, At + By.size()))
    Text.replace(At, What.size(), By);
  return Text;
}

std::string readFile(const std::string &Name) {
  std::ostringstream Out;
  Out << std::ifstream(Name).rdbuf();
  return Out.str();
}

/// The line of deploy/system.toml that starts the role, up to its settings.
std::string programOfDeployFile() {
  std::istringstream Lines(readFile("deploy/system.toml"));
  std::string Line;
  while (std::getline(Lines, Line))
    if (Line.starts_with("run = \""))
      return Line.substr(7, Line.find(' ', 7) - 7);
  return "";
}

json::object routeOf(const std::string &Name, const std::string &Kind,
                     int Target, int Timeout, int Staleness) {
  return {{"name", "r-" + Name},
          {"host", Name},
          {"kind", Kind},
          {"timeout_ms", Timeout},
          {"target_latency_ms", Target},
          {"priority", 1},
          {"service", "order-ledger"},
          {"max_staleness_ms", Staleness},
          {"public", false}};
}

bool isPromise(const std::string &Code) {
  const std::set<std::string> Promises{"BUSY",     "ABORTED",   "LAGGING",
                                       "READONLY", "MISROUTED", "TOOMANY"};
  return Promises.contains(Code);
}

} // namespace

bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

task<bool> startAll(world &World) {
  for (instance &Instance : World.Instances)
    World.startInstance(Instance);
  for (int Try = 0; Try < 100; ++Try) {
    co_await pause(ms(150));
    const bool Ready =
        std::ranges::all_of(World.Instances, [&](const instance &Instance) {
          return World.isReady(Instance);
        });
    World.Record.line(Ready ? "all instances are ready" : "not ready yet");
    if (Ready)
      co_return true;
  }
  co_return false;
}

record::record(const std::string &File) : Stream(File) {}

void record::line(const std::string &Text) {
  char Time[32];
  std::snprintf(Time, sizeof(Time), "%9.4f ", seconds());
  Stream << Time << replaceAll(Text, "\n", "<LF>") << std::endl;
}

double record::seconds() const {
  return std::chrono::duration<double>(steady::now() - Start).count();
}

world::world(const std::string &Folder)
    : Record(Folder + "/record.txt"), Group(Context),
      StoreAcceptor(Context, {asio::ip::address_v4::loopback(), 0}),
      CloudAcceptor(Context, {asio::ip::address_v4::loopback(), 0}) {
  std::string Name =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(Name.data()) == nullptr)
    throw std::runtime_error("no temporary folder");
  Directory = Name;
  std::set<std::uint16_t> Taken;
  for (std::uint16_t *Port : {&FrontPort, &ReadyPort, &PeersPort, &MetricsPort})
    *Port = freePort(Taken);
  configure();
  Store.OnWrite = [this](const std::string &, const std::string &Name,
                         const std::string &Value) {
    if (!Name.starts_with("group/"))
      return;
    Record.line("store: row " + Name + " = " + Value);
    const json::value Claim = json::parse(Value);
    if (OnClaim && Claim.at("moving").as_bool())
      OnClaim(std::string(Claim.at("orderer").as_string()));
  };
  Group.OnStart = [](database &, const std::string &) {};
  Group.OnRun = [this](database &Own, const std::string &Id,
                       const std::string &Text) {
    Record.line("run: " + Own.Name + " " + Id + " " + Text);
  };
}

world::~world() {
  for (instance &Instance : Instances)
    kill(Instance);
  std::error_code Ignored;
  std::filesystem::remove_all(Directory, Ignored);
}

void world::configure() {
  const json::object Tenant{{"name", "acme"},
                            {"api_keys", json::array{Key}},
                            {"rate_per_s", 400},
                            {"burst", 400}};
  const json::object Service{{"name", "order-ledger"},
                             {"connection_limit", 34},
                             {"sync_replicas", Group.SyncReplicas}};
  Store.put("op", "config",
            json::serialize(json::object{
                {"version", 7},
                {"routes",
                 json::array{routeOf("bag-checkout", "primary", 200, 1000, 0),
                             routeOf("catalogue-browse", "bounded_staleness",
                                     800, 3000, 1500),
                             routeOf("packing-confirm", "read_your_writes", 400,
                                     1000, 2500)}},
                {"services", json::array{Service}},
                {"limits", json::object{{"transaction_idle_ms", 3000}}},
                {"tenants", json::array{Tenant}}}));
}

void world::addInstances(std::size_t Count) {
  // The databases' settings may have changed since the construction.
  configure();
  std::string Template = readFile("deploy/settings.ini");
  const std::string Begin = "{{#zones}}";
  const std::string End = "{{/zones}}";
  const std::size_t From = Template.find(Begin);
  const std::size_t To = Template.find(End);
  std::string ZoneLines;
  for (const std::string &Zone : Zones)
    ZoneLines += Zone + " = " + Region + "\n";
  Template.replace(From, To + End.size() - From, ZoneLines);
  const auto Loopback = [](const tcp::acceptor &Acceptor) {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  };
  for (std::size_t Index = 0; Index < Count; ++Index) {
    instance Instance;
    Instance.Zone = Zones[Index % Zones.size()];
    Instance.Name =
        "front-" + Instance.Zone + "-" + std::to_string(Index / 4 + 1);
    Instance.Ip = "127.0.1." + std::to_string(Index + 1);
    Instance.Settings = Directory + "/" + Instance.Name + ".ini";
    Instance.Log = Directory + "/" + Instance.Name + ".log";
    const std::map<std::string, std::string> Fields{
        {"node_name", Instance.Name},
        {"zone", Instance.Zone},
        {"region", Region},
        {"limits.cpu_share", "0.25"},
        {"limits.link_mbps", "1000"},
        {"listen.front", Instance.Ip + ":" + std::to_string(FrontPort)},
        {"listen.ready", Instance.Ip + ":" + std::to_string(ReadyPort)},
        {"ip_address", Instance.Ip},
        {"internal_port_range.0", std::to_string(PeersPort)},
        {"internal_port_range.1", std::to_string(MetricsPort)},
        {"platform.address", Loopback(StoreAcceptor)},
        {"cloud.address", Loopback(CloudAcceptor)},
        {"bounds.quota_window_s", "5"},
        {"bounds.quota_overshoot", "0.1"},
        {"bounds.quota_slack", "20"},
        {"bounds.cold_overshoot", ""},
        {"bounds.cold_slack", ""}};
    std::string Text = Template;
    for (const auto &[Name, Value] : Fields)
      Text = replaceAll(Text, "{{" + Name + "}}", Value);
    std::ofstream(Instance.Settings) << Text;
    Instances.push_back(Instance);
  }
}

void world::startInstance(instance &Instance) {
  static const std::string Program = programOfDeployFile();
  const pid_t Parent = getpid();
  Instance.Process = fork();
  if (Instance.Process != 0)
    return;
  // The process ends with this one, however that ends.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != Parent)
    _exit(1);
  const int Log =
      open(Instance.Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2(Log, 1);
  dup2(Log, 2);
  for (int File = 3; File < 256; ++File)
    close(File);
  execl(Program.c_str(), Program.c_str(), "--config", Instance.Settings.c_str(),
        nullptr);
  _exit(1);
}

void world::kill(instance &Instance) {
  if (Instance.Process <= 0)
    return;
  ::kill(Instance.Process, SIGKILL);
  ::waitpid(Instance.Process, nullptr, 0);
  Instance.Process = 0;
}

bool world::isReady(const instance &Instance) {
  asio::io_context Own;
  beast::tcp_stream Stream(Own);
  boost::system::error_code Error;
  Stream.connect({asio::ip::make_address(Instance.Ip), ReadyPort}, Error);
  if (Error)
    return false;
  http::request<http::empty_body> Request(http::verb::get, "/v1/readiness", 11);
  Request.set(http::field::host, "ready");
  http::write(Stream, Request, Error);
  beast::flat_buffer Buffer;
  http::response<http::string_body> Response;
  http::read(Stream, Buffer, Response, Error);
  return !Error && Response.result_int() == 200;
}

instance *world::find(std::string_view Name) {
  const auto Found = std::ranges::find(Instances, Name, &instance::Name);
  return Found == Instances.end() ? nullptr : &*Found;
}

response world::promote(const std::map<std::string, std::string> &Headers,
                        const std::string &Body) {
  const json::value Call = json::parse(Body);
  promotion Promotion;
  Promotion.At = Record.seconds();
  Promotion.Service = Call.at("service").as_string();
  Promotion.Database = Call.at("identifier").as_string();
  Promotion.Holder = Headers.at("holder");
  Promotion.Token = std::stoull(Headers.at("token"));
  std::uint64_t &Highest = HighestToken[Promotion.Service];
  Promotion.Lower = Promotion.Token < Highest;
  Highest = std::max(Highest, Promotion.Token);
  Promotions.push_back(Promotion);
  const bool Done = Group.promote(Promotion.Database);
  Record.line("platform: POST /promote " + Promotion.Database + " by " +
              Promotion.Holder + " with token " +
              std::to_string(Promotion.Token) +
              (Promotion.Lower ? ", lower than one seen before" : "") +
              ", answered " + (Done ? "200" : "409"));
  return {Done ? 200U : 409U, "{}"};
}

task<> world::serveConnection(tcp::socket Socket, bool IsStore) {
  beast::tcp_stream Stream(std::move(Socket));
  beast::flat_buffer Buffer;
  while (true) {
    http::request<http::string_body> Request;
    const auto [Error, Size] =
        co_await http::async_read(Stream, Buffer, Request, Token);
    if (Error)
      break;
    // The time that an answer of the platform takes.
    co_await pause(ms(4));
    response Answer;
    if (IsStore)
      Answer = Store.handle(Request.method_string(), Request.target(),
                            Request.body());
    else
      Answer = promote({{"holder", Request["Redwinggw-Duty-Holder"]},
                        {"token", Request["Redwinggw-Fencing-Token"]}},
                       Request.body());
    http::response<http::string_body> Response(
        http::int_to_status(Answer.Status), 11);
    Response.set(http::field::content_type, "application/json");
    Response.keep_alive(true);
    Response.body() = Answer.Body;
    Response.prepare_payload();
    const auto [WriteError, Sent] =
        co_await http::async_write(Stream, Response, Token);
    if (WriteError)
      break;
  }
}

task<> world::serveHttp(tcp::acceptor &Acceptor, bool IsStore) {
  while (true) {
    auto [Error, Socket] = co_await Acceptor.async_accept(Token);
    if (!Error)
      asio::co_spawn(Context, serveConnection(std::move(Socket), IsStore),
                     asio::detached);
  }
}

task<outcome> world::attempt(instance &Instance, std::string Route,
                             std::string Text) {
  outcome Outcome;
  Outcome.Id = "c" + std::to_string(++LastId);
  Outcome.SentAt = Record.seconds();
  Outcome.Error = "closed";
  tcp::socket Socket(Context);
  asio::steady_timer Limit(Context, ms(4000));
  Limit.async_wait([&Socket](boost::system::error_code Error) {
    boost::system::error_code Ignored;
    if (!Error)
      Socket.close(Ignored);
  });
  const tcp::endpoint Address(asio::ip::make_address(Instance.Ip), FrontPort);
  const auto [ConnectError] = co_await Socket.async_connect(Address, Token);
  std::string Buffer;
  bool Started = false;
  std::string Line = "START " + Route + " " + Key + "\r\n";
  while (!ConnectError) {
    const auto [WriteError, Sent] =
        co_await asio::async_write(Socket, asio::buffer(Line), Token);
    bool Ready = false;
    while (!WriteError && !Ready) {
      const auto [Error, Size] = co_await asio::async_read_until(
          Socket, asio::dynamic_buffer(Buffer), "\r\n", Token);
      if (Error)
        break;
      const std::string Read = Buffer.substr(0, Size - 2);
      Buffer.erase(0, Size);
      if (Read.starts_with("ROW "))
        Outcome.Value = Read.substr(4);
      if (Read.starts_with("DONE ")) {
        Outcome.Signature = Read.substr(5);
        Outcome.Error = "";
      }
      if (Read.starts_with("ERROR ")) {
        Outcome.Error = Read.substr(6, Read.find(' ', 6) - 6);
        Ready = !Started;
      }
      Ready = Ready || Read.starts_with("READY ");
    }
    if (!Ready || Started || Outcome.Error != "closed")
      break;
    Started = true;
    const std::string Statement = replaceAll(Text, "%ID", Outcome.Id);
    if (OnSend)
      OnSend(Outcome.Id, Statement);
    Line = "QUERY " + Outcome.Id + " " + Statement + "\r\n";
  }
  Limit.cancel();
  Outcome.AnsweredAt = Record.seconds();
  Record.line(
      "client: " + Outcome.Id + " " + Route + " " +
      replaceAll(Text, "%ID", Outcome.Id) + " at " + Instance.Name + " -> " +
      (Outcome.Error.empty() ? "DONE " + Outcome.Signature + " " + Outcome.Value
                             : "ERROR " + Outcome.Error));
  co_return Outcome;
}

task<outcome> world::operate(std::string Route, std::string Text) {
  constexpr int MaxRetries = 2;
  constexpr double Deadline = 2.0;
  const double Begun = Record.seconds();
  outcome Outcome;
  for (int Try = 0; Try <= MaxRetries; ++Try) {
    Outcome = co_await attempt(Instances[NextInstance++ % Instances.size()],
                               Route, Text);
    // A session that could not be opened has sent no statement.
    const bool Again = isPromise(Outcome.Error) || Outcome.Error == "closed";
    const bool Write = Text.starts_with("WRITE");
    if (!Again || (Outcome.Error == "closed" && Write) ||
        Record.seconds() - Begun > Deadline / 2)
      break;
    co_await pause(ms(100));
  }
  co_return Outcome;
}

void world::run(const std::function<task<>()> &Main) {
  asio::co_spawn(Context, serveHttp(StoreAcceptor, true), asio::detached);
  asio::co_spawn(Context, serveHttp(CloudAcceptor, false), asio::detached);
  asio::co_spawn(Context, Group.run(Store), asio::detached);
  std::exception_ptr Fault;
  asio::co_spawn(Context, Main(), [&](std::exception_ptr Thrown) {
    Fault = Thrown;
    Context.stop();
  });
  Context.run();
  if (Fault)
    std::rethrow_exception(Fault);
}

} // namespace review
