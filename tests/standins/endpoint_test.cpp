#include "endpoint/endpoint.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds ExchangeTimeout{20};
constexpr const char *Caller = "test";

/// One endpoint of group "g" and its server.
struct node {
  node(asio::io_context &Context, standin::endpoint_options Options)
      : Endpoint(std::make_shared<standin::endpoint_standin>(
            Context.get_executor(), std::move(Options))),
        Server(Context.get_executor(), {},
               [this](http::connection &Connection, http::request Request) {
                 return Endpoint->handle(Connection, std::move(Request));
               }),
        Address(Server.listen({"127.0.0.1", 0}).value()) {}
  std::shared_ptr<standin::endpoint_standin> Endpoint;
  http::server Server;
  http::address Address;
};

struct client {
  client(asio::io_context &Context, http::address Address)
      : Client(Context.get_executor()), Address(std::move(Address)) {}
  http::client Client;
  http::address Address;
};

base::instant exchangeDeadline() { return base::now() + ExchangeTimeout; }

base::task<void> connect(client &Client) {
  const auto Connected = co_await data::connectEndpoint(
      Client.Client, Client.Address, Caller, exchangeDeadline());
  cr_assert(Connected.has_value());
}

data::run_request running(std::string Sql, boost::json::array Params = {}) {
  data::run_request Request;
  Request.Statements.push_back({std::move(Sql), std::move(Params)});
  return Request;
}

base::task<data::run_result> ask(client &Client, data::run_request Request) {
  co_return co_await data::run(Client.Client, Request, Caller,
                               exchangeDeadline());
}

/// Runs a request that must succeed.
base::task<data::run_answer> succeed(client &Client,
                                     data::run_request Request) {
  const data::run_result Result = co_await ask(Client, std::move(Request));
  cr_assert(Result.Answer.has_value());
  co_return Result.Answer.value_or(data::run_answer());
}

base::task<std::int64_t> countRows(client &Client) {
  data::run_request Request = running("select count(*) from bag");
  Request.ReadOnly = true;
  const data::run_answer Answer = co_await succeed(Client, std::move(Request));
  const auto &Rows = Answer.Results.at(0).at("rows").as_array();
  co_return Rows.at(0).at(0).as_int64();
}

base::task<void> sendCommand(client &Client, std::string Target,
                             boost::json::object Body) {
  http::request Request;
  Request.Target = std::move(Target);
  Request.Body = boost::json::serialize(Body);
  const auto Answer =
      co_await Client.Client.exchange(Request, exchangeDeadline());
  cr_assert(Answer.has_value() && Answer->Status == standin::StatusOk);
}

/// A primary named "p" and, optionally, a replica named "r".
struct group {
  explicit group(bool WithReplica = false) {
    std::vector<data::endpoint_address> Members;
    if (WithReplica) {
      Replica = std::make_unique<node>(Context, options("r"));
      Members.push_back({"r", Replica->Address});
    }
    standin::endpoint_options Options = options("p");
    Options.Primary = true;
    Options.Members = Members;
    Options.Schema.push_back({"create table bag(id integer primary key)", {}});
    Primary = std::make_unique<node>(Context, std::move(Options));
  }

  static standin::endpoint_options options(const char *Name) {
    standin::endpoint_options Options;
    Options.Name = Name;
    Options.Group = "g";
    Options.Connections = 2;
    return Options;
  }

  asio::io_context Context{1};
  std::unique_ptr<node> Replica;
  std::unique_ptr<node> Primary;
};

using scenario = base::task<void> (*)(group &);

/// Runs \p Scenario to completion. Scenarios are named functions because g++ 12
/// gives a lambda coroutine in a Criterion test a symbol that the assembler
/// rejects.
void runScenario(scenario Scenario, bool WithReplica = false) {
  group Group(WithReplica);
  bool Done = false;
  const auto Finished = [&](std::exception_ptr Error) {
    Done = Error == nullptr;
    Group.Context.stop();
  };
  asio::co_spawn(Group.Context, Scenario(Group), Finished);
  Group.Context.run();
  cr_assert(Done);
}

base::task<void> writeReachesReplica(group &Group) {
  client Primary(Group.Context, Group.Primary->Address);
  client Replica(Group.Context, Group.Replica->Address);
  co_await connect(Primary);
  co_await connect(Replica);
  data::run_request Insert = running("insert into bag values(?)", {7});
  Insert.ExpectTerm = 1;
  const auto Written = co_await succeed(Primary, std::move(Insert));
  cr_assert(Written.Position == 2);
  const data::status_request Wait{2, 1, 20s};
  const auto State =
      co_await data::status(Replica.Client, Wait, Caller, exchangeDeadline());
  cr_assert(State && State->Received == 2);
  while (co_await countRows(Replica) != 1) {
  }
  const auto Refused =
      co_await ask(Replica, running("insert into bag values(8)"));
  cr_assert(Refused.Failed.Refusal == data::refusal::NotPrimary);
}

base::task<void> runInAnotherTerm(group &Group) {
  client Caller(Group.Context, Group.Primary->Address);
  co_await connect(Caller);
  data::run_request Insert = running("insert into bag values(1)");
  Insert.ExpectTerm = 2;
  const auto Result = co_await ask(Caller, std::move(Insert));
  cr_assert(Result.Failed.Refusal == data::refusal::TermReplaced);
  cr_assert(kindOf(Result.Failed.Failure) == base::errc::TermReplaced);
  cr_assert(co_await countRows(Caller) == 0);
}

base::task<void> commitAfterSeal(group &Group) {
  client Caller(Group.Context, Group.Primary->Address);
  client Orders(Group.Context, Group.Primary->Address);
  co_await connect(Caller);
  co_await connect(Orders);
  data::run_request Insert = running("insert into bag values(1)");
  Insert.Begin = true;
  const auto Begun = co_await succeed(Caller, std::move(Insert));
  cr_assert(Begun.InTransaction);
  const auto Sealed = co_await data::seal(Orders.Client, 2, "order", "test",
                                          exchangeDeadline());
  cr_assert(Sealed && Sealed->Role == data::endpoint_role::Sealed);
  data::run_request Commit;
  Commit.Commit = true;
  const auto Ended = co_await ask(Caller, std::move(Commit));
  cr_assert(Ended.Failed.Refusal == data::refusal::TermReplaced);
  cr_assert(co_await countRows(Caller) == 0);
}

base::task<void> writeAtOnce(group &Group) {
  client First(Group.Context, Group.Primary->Address);
  client Second(Group.Context, Group.Primary->Address);
  co_await connect(First);
  co_await connect(Second);
  const std::string Sql =
      "insert into bag select 1 where not exists (select * from bag)";
  data::run_request Begin = running(Sql);
  Begin.Begin = true;
  co_await succeed(First, std::move(Begin));
  // The second transaction waits for the first and is refused after a timeout.
  const auto Waited = co_await ask(Second, running(Sql));
  cr_assert(Waited.Failed.Refusal == data::refusal::Busy);
  data::run_request Commit;
  Commit.Commit = true;
  const auto Ended = co_await succeed(First, std::move(Commit));
  cr_assert(Ended.Position == 2);
  const auto Repeated =
      co_await ask(First, running("insert into bag values(1)"));
  cr_assert(Repeated.Failed.Refusal == data::refusal::UniqueKey);
  cr_assert(co_await countRows(Second) == 1);
}

base::task<void> connectUpToTheLimit(group &Group) {
  std::unique_ptr<client> First;
  First = std::make_unique<client>(Group.Context, Group.Primary->Address);
  client Second(Group.Context, Group.Primary->Address);
  client Third(Group.Context, Group.Primary->Address);
  co_await connect(*First);
  co_await connect(Second);
  const auto Refused = co_await data::connectEndpoint(
      Third.Client, Third.Address, Caller, exchangeDeadline());
  cr_assert(kindOf(Refused.error()) == base::errc::ConnectionLimit);
  First.reset();
  while (!co_await data::connectEndpoint(Third.Client, Third.Address, Caller,
                                         exchangeDeadline())) {
  }
}

base::task<void> loseAnAnswer(group &Group) {
  client Lost(Group.Context, Group.Primary->Address);
  client Other(Group.Context, Group.Primary->Address);
  co_await connect(Lost);
  co_await connect(Other);
  const boost::json::object Fault{{"kind", "lose_answer"}};
  co_await sendCommand(Other, "/admin/fault", Fault);
  const auto Result = co_await ask(Lost, running("insert into bag values(1)"));
  cr_assert(kindOf(Result.Failed.Failure) == base::errc::OutcomeUnknown);
  cr_assert(co_await countRows(Other) == 1);
}

} // namespace

Test(endpoint, a_write_reaches_the_replica_which_confirms_it) {
  runScenario(writeReachesReplica, true);
}

Test(rule_4, a_run_is_refused_outside_the_expected_term) {
  runScenario(runInAnotherTerm);
}

// Guards against a commit on a sealed primary: a caller has an open transaction
// when the primary is sealed, and then tries to commit it. Neither that commit
// nor a new transaction may succeed.
Test(rule_2, a_transaction_that_is_open_at_the_seal_does_not_commit) {
  runScenario(commitAfterSeal);
}

// Guards against a result that no serial execution gives: two callers each
// insert a row if the table is empty. Run serially, one row results; run
// concurrently, it must be the same.
Test(rule_5, transactions_at_once_give_the_result_of_one_after_the_other) {
  runScenario(writeAtOnce);
}

Test(endpoint, connections_are_limited_and_a_closed_one_makes_room) {
  runScenario(connectUpToTheLimit);
}

// Guards against losing a write whose response is lost: the caller learns
// nothing, but the write took effect.
Test(endpoint, a_lost_answer_leaves_its_effect) { runScenario(loseAnAnswer); }
