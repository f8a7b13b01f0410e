#pragma once

#include "redwinggw/session/session_core.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

/// A database group without sockets: links record which statements run where
/// and answer as a script decides.
namespace redwinggw::session::testing {

/// One statement as an endpoint received it.
struct received_statement {
  std::string Endpoint;
  std::string Customer;
  std::string Id;
  std::string Text;
  std::optional<log_point> After;
  std::size_t Connection = 0;
};

struct fake_group {
  /// Answers the next statements; afterwards all succeed.
  std::function<std::optional<exchange>(const received_statement &)> Script;
  std::vector<received_statement> Received;
  /// What comes after answers to earlier statements.
  std::deque<exchange> LateAnswers;
  /// The endpoints accept no more connections than this.
  std::size_t MaxConnections = SIZE_MAX;
  std::size_t Connected = 0;
  std::size_t Refusals = 0;
  /// How long a set-up takes; one that takes longer than its deadline has no
  /// answer. The most set-ups at a time are counted.
  base::milliseconds SetUpTime{0};
  std::size_t SetUps = 0;
  std::size_t MostSetUps = 0;
  log_point Point{1, 100};
  std::size_t Connections = 0;

  std::vector<received_statement> callerStatements() const {
    std::vector<received_statement> Found;
    for (const received_statement &Statement : Received)
      if (!Statement.Id.empty())
        Found.push_back(Statement);
    return Found;
  }
};

inline exchange succeeded(const fake_group &Group, transaction_state State) {
  exchange Exchange;
  Exchange.Outcome = exchange_outcome::Answered;
  Exchange.Answer.State = State;
  Exchange.Answer.Point = Group.Point;
  Exchange.SentAt = base::now();
  return Exchange;
}

inline exchange refused(answer_code Code) {
  exchange Exchange;
  Exchange.Outcome = exchange_outcome::Answered;
  Exchange.Answer.Error = answer_error{Code, "by script"};
  return Exchange;
}

inline bool failedWith(const answer &Answer, answer_code Code) {
  return Answer.Error && Answer.Error->Code == Code;
}

inline exchange ended(exchange_outcome Outcome) {
  exchange Exchange;
  Exchange.Outcome = Outcome;
  return Exchange;
}

class fake_link final : public endpoint_link {
public:
  explicit fake_link(fake_group &Group) : Group(Group) {}
  ~fake_link() override {
    if (Number != 0)
      --Group.Connected;
  }

  base::task<exchange> open(const endpoint_entry &Entry,
                            std::string_view Customer,
                            base::instant Deadline) override {
    Endpoint = Entry.Name;
    this->Customer = Customer;
    Group.MostSetUps = std::max(Group.MostSetUps, ++Group.SetUps);
    const base::instant Ready = base::now() + Group.SetUpTime;
    if (Group.SetUpTime.count() != 0) {
      boost::asio::steady_timer Timer(
          co_await boost::asio::this_coro::executor,
          base::timerPoint(std::min(Ready, Deadline)));
      co_await Timer.async_wait(boost::asio::use_awaitable);
    }
    --Group.SetUps;
    if (Group.SetUpTime.count() != 0 && Deadline < Ready)
      co_return ended(exchange_outcome::TimedOut);
    if (Group.Connected >= Group.MaxConnections) {
      ++Group.Refusals;
      co_return refused(answer_code::TooMany);
    }
    ++Group.Connected;
    Number = ++Group.Connections;
    co_return succeeded(Group, transaction_state::Idle);
  }

  base::task<exchange> run(std::string_view Id, std::string_view Text,
                           std::optional<log_point> After,
                           base::instant) override {
    received_statement Statement{Endpoint,          Customer, std::string(Id),
                                 std::string(Text), After,    Number};
    Group.Received.push_back(Statement);
    if (Group.Script)
      if (auto Scripted = Group.Script(Statement)) {
        Usable = Scripted->Outcome == exchange_outcome::Answered;
        co_return *Scripted;
      }
    if (Text.starts_with("BEGIN"))
      InTransaction = true;
    if (Text == "COMMIT" || Text == "ROLLBACK")
      InTransaction = false;
    exchange Done = succeeded(Group, InTransaction ? transaction_state::Open
                                                   : transaction_state::Idle);
    if (!Id.empty())
      Done.Answer.Signature =
          "proof " + Statement.Id + "." + std::to_string(Group.Received.size());
    co_return Done;
  }

  base::task<exchange> readOn(base::instant) override {
    exchange Next = ended(exchange_outcome::TimedOut);
    if (!Group.LateAnswers.empty()) {
      Next = Group.LateAnswers.front();
      Group.LateAnswers.pop_front();
    }
    Usable = Next.Outcome == exchange_outcome::Answered;
    co_return Next;
  }

  base::task<status_exchange> command(status_command, base::term_number,
                                      base::instant) override {
    co_return status_exchange();
  }

  bool isUsable() override { return Usable; }
  std::string beginText(bool ReadOnly) const override {
    return ReadOnly ? "BEGIN READ" : "BEGIN";
  }
  std::string rollbackText() const override { return "ROLLBACK"; }
  std::string resetText() const override { return "RESET"; }
  std::string setText(std::string_view Name,
                      std::string_view Value) const override {
    return "SET " + std::string(Name) + " " + std::string(Value);
  }
  std::string prepareText(std::string_view Name,
                          std::string_view Operand) const override {
    return "PREPARE " + std::string(Name) + " " + std::string(Operand);
  }
  std::string executeText(std::string_view Name,
                          std::string_view Operand) const override {
    return "EXECUTE " + std::string(Name) + " " + std::string(Operand);
  }

private:
  fake_group &Group;
  std::string Endpoint;
  std::string Customer;
  std::size_t Number = 0;
  bool InTransaction = false;
  bool Usable = true;
};

/// A session core in front of one service "s" with the endpoints p (primary),
/// r1 and r2.
struct core_fixture {
  core_fixture() : core_fixture(OwnContext, OwnGroup) {}

  /// A core that shares its event loop and its endpoints with others.
  core_fixture(boost::asio::io_context &Context, fake_group &Group)
      : Context(Context), Group(Group),
        Set(Context.get_executor(), "z1",
            [&Group] { return std::make_unique<fake_link>(Group); }),
        Core(Set) {
    std::vector<endpoint_entry> Entries;
    for (const char *Name : {"p", "r1", "r2"}) {
      endpoint_entry Entry;
      Entry.Name = Name;
      Entry.Service = "s";
      Entry.Zone = "z1";
      Entry.Slots = 5;
      Entries.push_back(Entry);
    }
    updateEndpoints(Set, Entries, base::now());
    auto Table = std::make_shared<route_table>();
    Table->Version = 1;
    addRoute(*Table, "strict", consistency::Primary);
    addRoute(*Table, "bounded", consistency::BoundedStaleness);
    addRoute(*Table, "own", consistency::ReadYourWrites);
    Table->Keys.emplace("key", "acme");
    Table->Keys.emplace("key2", "bolt");
    Routes = Table;
    Core.Ports.Routes = [this] { return Routes; };
    Core.Ports.Admit = [this](base::customer_name, unsigned,
                              base::microseconds) {
      return admit(Admitted, RateKnown);
    };
    Core.Ports.Settle = [this](std::string_view, bool Ran) {
      Returned += Ran ? 0 : 1;
    };
    Core.Ports.PrimaryLease = [this](std::string_view) { return PrimaryLease; };
    Core.Ports.StillHolds = [this](const primary_lease &Given) {
      return PrimaryLease && *PrimaryLease == Given;
    };
    Core.Ports.PrimaryExpected = [](std::string_view) {
      return std::optional<base::milliseconds>();
    };
    Core.Ports.NoteEndpointProblem = [this](std::string_view Name) {
      Problems.emplace_back(Name);
    };
  }

  static base::task<admission> admit(bool Admitted, bool RateKnown) {
    co_return Admitted
        ? admission{true, true, {}}
        : admission{false, false, base::milliseconds(120), RateKnown};
  }

  static void addRoute(route_table &Table, std::string Name, consistency Kind) {
    route Route;
    Route.Name = Name;
    Route.Service = "s";
    Route.Consistency = Kind;
    Route.MaxStaleness = base::milliseconds(1500);
    Table.Routes.emplace(std::move(Name), Route);
  }

  caller_session open(std::string Database, std::string Key = "key") {
    caller_session Session;
    Session.Database = std::move(Database);
    Session.Key = std::move(Key);
    OpenError = openSession(Core, Session);
    return Session;
  }

  /// Whether the last session was refused with \p Code.
  bool openedWith(answer_code Code) const {
    return OpenError && OpenError->Code == Code;
  }

  /// Runs one statement to its answer, and the event loop until it is idle. A
  /// shared loop always has work: it is left with the answer.
  answer run(caller_session &Session, statement_kind Kind, std::string Text,
             std::string Name = {}, std::string Operand = {}) {
    statement Statement{"id" + std::to_string(++LastId), Kind, std::move(Text),
                        std::move(Name), std::move(Operand)};
    Statement.Writes = Statement.Operand.starts_with("WRITE");
    std::optional<answer> Answer;
    boost::asio::co_spawn(
        Context,
        [](core_fixture &Self, caller_session &Session, statement Statement,
           std::optional<answer> &Answer) -> base::task<void> {
          Answer = co_await serve(Self.Core, Session, std::move(Statement),
                                  base::now());
        }(*this, Session, std::move(Statement), Answer),
        boost::asio::detached);
    Context.restart();
    if (&Context == &OwnContext)
      Context.run();
    while (!Answer && Context.run_one() != 0) {
    }
    return Answer.value_or(answer());
  }
  answer read(caller_session &Session) {
    return run(Session, statement_kind::Read, "READ x");
  }
  answer write(caller_session &Session) {
    return run(Session, statement_kind::Write, "WRITE x 1");
  }

  boost::asio::io_context OwnContext;
  fake_group OwnGroup;
  boost::asio::io_context &Context;
  fake_group &Group;
  endpoint_set Set;
  session_core Core;
  route_table_ptr Routes;
  std::optional<primary_lease> PrimaryLease = primary_lease{"s", "p", 1};
  bool Admitted = true;
  bool RateKnown = true;
  /// Operations that were refunded to the rate.
  unsigned Returned = 0;
  std::optional<answer_error> OpenError;
  std::vector<std::string> Problems;
  unsigned LastId = 0;
};

} // namespace redwinggw::session::testing
