#include "config_fixture.hpp"

#include "redwinggw/control/operator_routes.hpp"
#include "redwinggw/http/client.hpp"

#include <boost/json.hpp>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::testing;
using base::task;
namespace json = boost::json;

namespace {

const json::object Nothing;

struct server_fixture : config_fixture {
  server_fixture() : Operators(Context.get_executor(), "secret") {
    addConfigurationRoutes(Operators, *Left);
    Operators.setMetrics([] { return std::string("up 1\n"); });
    At = Operators.listen({"127.0.0.1", 0}).value();
  }

  task<http::response> ask(std::string Path, json::object Body,
                           std::string Authorization = "Bearer secret") {
    http::request Request;
    Request.Target = std::move(Path);
    Request.Authorization = std::move(Authorization);
    Request.Body = json::serialize(Body);
    const auto Response =
        co_await http::exchangeOnce(Context.get_executor(), At, Request,
                                    base::now() + std::chrono::seconds(10));
    co_return Response.value();
  }

  control::operator_server Operators;
  http::address At;
};

struct refused_request {
  std::string Path;
  json::object Body;
  std::string Authorization;
  unsigned Status;
  std::string Error;
};

} // namespace

namespace {

task<void> askAll(server_fixture &Fleet,
                  const std::vector<refused_request> &Cases) {
  for (const refused_request &Case : Cases) {
    const auto Response =
        co_await Fleet.ask(Case.Path, Case.Body, Case.Authorization);
    const auto Body = json::parse(Response.Body);
    cr_assert(Response.Status == Case.Status);
    cr_assert(Body.at("error") == json::value(Case.Error));
    cr_assert(!Body.at("remedy").as_string().empty());
  }
  Fleet.Operators.drain();
}

} // namespace

Test(operator_server, refusals_name_their_kind_and_remedy) {
  server_fixture Fleet;
  const std::string Right = "Bearer secret";
  const std::vector<refused_request> Cases{
      {"/operators/status", {}, "", 401, "unknown_key"},
      {"/operators/status", {}, "Bearer ", 401, "unknown_key"},
      {"/operators/status", {}, "Bearer secreT", 401, "unknown_key"},
      {"/operators/status", {}, "Basic secret", 401, "unknown_key"},
      {"/operators/nothing", {}, Right, 404, "not_found"},
      {"/operators/sheet/submit", {}, Right, 400, "bad_request"},
      {"/operators/sheet/submit", {{"sheet", "x"}}, Right, 422, "bad_sheet"},
      {"/operators/sheet/submit",
       {{"sheet", sheetOf(9, {})}},
       Right,
       422,
       "bad_sheet"},
      {"/operators/sheet/show", {{"version", 7}}, Right, 404, "not_found"},
      {"/operators/sheet/show", {{"version", -1}}, Right, 400, "bad_request"},
      {"/operators/key/give", {{"customer", "x"}}, Right, 404, "not_found"},
      {"/operators/key/withdraw", {{"id", "x"}}, Right, 404, "not_found"},
  };
  Fleet.run([&] { return askAll(Fleet, Cases); });
}

namespace {

task<void> askWithoutKey(server_fixture &Fleet,
                         control::operator_server &Open) {
  const auto Response =
      co_await Fleet.ask("/operators/status", Nothing, "Bearer ");
  cr_assert(Response.Status == 401);
  Open.drain();
  Fleet.Operators.drain();
}

} // namespace

Test(operator_server, an_unset_operator_key_lets_nobody_in) {
  server_fixture Fleet;
  control::operator_server Open(Fleet.Context.get_executor(), "");
  Fleet.At = Open.listen({"127.0.0.1", 0}).value();
  Fleet.run([&] { return askWithoutKey(Fleet, Open); });
}

namespace {

task<void> performUsualRequests(server_fixture &Fleet,
                                const json::object &WithSheet,
                                const json::object &Customer) {
  const auto Diff = co_await Fleet.ask("/operators/sheet/diff", WithSheet);
  cr_assert(json::parse(Diff.Body).at("changes").as_array().size() == 1);
  const auto First = co_await Fleet.ask("/operators/sheet/submit", WithSheet);
  cr_assert(json::parse(First.Body).at("version") == json::value(1));
  const auto Again = co_await Fleet.ask("/operators/sheet/submit", WithSheet);
  cr_assert(json::parse(Again.Body).at("already") == json::value(true));

  const auto Given = co_await Fleet.ask("/operators/key/give", Customer);
  const auto Key = json::parse(Given.Body);
  cr_assert(isKeyInForce(*Fleet.Left, std::string(Key.at("key").as_string())));
  const auto Listed = co_await Fleet.ask("/operators/customers", Nothing);
  cr_assert(Listed.Body.find(Key.at("id").as_string()) != std::string::npos);
  cr_assert(Listed.Body.find(Key.at("key").as_string()) == std::string::npos);
  json::object WithId;
  WithId["id"] = Key.at("id");
  const auto Gone = co_await Fleet.ask("/operators/key/withdraw", WithId);
  cr_assert(json::parse(Gone.Body).at("version") == json::value(3));
  const auto Status = co_await Fleet.ask("/operators/status", Nothing);
  const auto Configuration = json::parse(Status.Body).at("configuration");
  cr_assert(Configuration.at("version") == json::value(3));
  const auto Metrics = co_await Fleet.ask("/operators/metrics", Nothing, "");
  cr_assert(Metrics.Body == "up 1\n");
  Fleet.Operators.drain();
}

} // namespace

Test(operator_server, the_usual_operator_requests_work) {
  server_fixture Fleet;
  const json::object WithSheet{{"sheet", sheetOf(0, {"a"})}};
  const json::object Customer{{"customer", "a"}};
  Fleet.run([&] { return performUsualRequests(Fleet, WithSheet, Customer); });
}
