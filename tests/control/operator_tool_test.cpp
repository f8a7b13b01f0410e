#include "config_fixture.hpp"

#include "redwinggw/base/timeline.hpp"
#include "redwinggw/control/operator_routes.hpp"
#include "redwinggw/ctl/tool.hpp"
#include "redwinggw/http/client.hpp"

#include <boost/json.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::testing;
using base::errc;
using ctl::exit_code;
namespace json = boost::json;

namespace {

/// The result of a run of the tool.
struct tool_run {
  exit_code Code;
  std::string Out;
  std::string Err;
};

tool_run runWith(const ctl::exchange_port &Exchange,
                 const std::vector<std::string> &Words) {
  std::ostringstream Out;
  std::ostringstream Err;
  const exit_code Code = ctl::runTool(Words, Exchange, Out, Err);
  return {Code, Out.str(), Err.str()};
}

/// A file with this content that the destructor removes.
struct temporary_file {
  explicit temporary_file(const std::string &Content)
      : Path(std::filesystem::temp_directory_path() / base::randomId()) {
    std::ofstream(Path) << Content;
  }
  ~temporary_file() { std::filesystem::remove(Path); }
  temporary_file(const temporary_file &) = delete;
  temporary_file &operator=(const temporary_file &) = delete;

  std::filesystem::path Path;
};

/// The operator server of an instance, which the tool reaches over loopback.
struct tool_fixture : config_fixture {
  tool_fixture()
      : Operators(Context.get_executor(), "secret"), Key("secret\n") {
    addConfigurationRoutes(Operators, *Left);
    addInstancesRoute(Operators, Store);
    Operators.addStatus("instance",
                        [] { return json::object{{"name", "left"}}; });
    At = Operators.listen({"127.0.0.1", 0}).value();
    Left->start();
  }

  tool_run run(std::vector<std::string> Words) {
    Words.insert(Words.end(), {"--operators", toText(At), "--operator-key-file",
                               Key.Path.string()});
    return runWith(
        [&](const http::address &To, const http::request &Request) {
          return exchangeInContext(To, Request);
        },
        Words);
  }

  base::result<http::response> exchangeInContext(const http::address &To,
                                                 const http::request &Request) {
    std::optional<base::result<http::response>> Answer;
    boost::asio::co_spawn(
        Context,
        http::exchangeOnce(Context.get_executor(), To, Request,
                           base::now() + std::chrono::seconds(10)),
        [&](const std::exception_ptr &, base::result<http::response> Got) {
          Answer = std::move(Got);
        });
    while (!Answer)
      Context.run_one();
    return *Answer;
  }

  control::operator_server Operators;
  http::address At;
  temporary_file Key;
};

/// The word after \p Label.
std::string wordAfter(const std::string &Text, std::string_view Label) {
  std::istringstream Rest(Text.substr(Text.find(Label) + Label.size()));
  std::string Word;
  Rest >> Word;
  return Word;
}

bool has(const std::string &Text, std::string_view Part) {
  return Text.find(Part) != std::string::npos;
}

struct failure_row {
  /// The failure of the exchange, and the one that the tool reports.
  errc Kind;
  errc Reported;
  exit_code Code;
  /// Number of instances, out of two, that a change is sent to.
  unsigned Asked;
};

} // namespace

Test(operator_tool, wrong_use_names_the_help) {
  const std::vector<std::vector<std::string>> Cases{
      {},
      {"sheet"},
      {"sheet", "check"},
      {"--colour"},
      {"x", "y"},
      {"status", "x"},
      {"key", "give"},
      {"status"},
      {"drain"},
      {"status", "--operators", "here"},
      {"metrics", "--config", "/none"}};
  for (const auto &Words : Cases) {
    const tool_run Run = runWith({}, Words);
    cr_assert(Run.Code == exit_code::Usage);
    cr_assert(has(Run.Err, "--"));
  }
  cr_assert(has(runWith({}, {"--help"}).Out, "sheet submit FILE"));
  cr_assert(has(runWith({}, {"--version"}).Out, REDWINGGW_VERSION));
}

Test(operator_tool, a_sheet_is_checked_without_any_instance) {
  const temporary_file Good(testing::sheetOf(0, {"a"}));
  const temporary_file Bad("kind,name\nfoo\n");
  const tool_run Fine = runWith({}, {"sheet", "check", Good.Path.string()});
  cr_assert(Fine.Code == exit_code::Ok);
  const tool_run Faulty =
      runWith({}, {"sheet", "check", Bad.Path.string(), "--json"});
  cr_assert(Faulty.Code == exit_code::Refused);
  cr_assert(has(Faulty.Out, "\"column\":\"digest\""));
}

// A key is given at one instance and the answer is lost. A tool that then asked
// the next instance would create a second key that nobody knows of.
Test(operator_tool, failures_have_their_exit_code_and_changes_go_out_once) {
  const std::vector<failure_row> Cases{
      {errc::EndpointUnreachable, errc::InstanceUnreachable,
       exit_code::Unreachable, 2},
      {errc::OutcomeUnknown, errc::OutcomeUnknown, exit_code::OutcomeUnknown,
       1},
      {errc::TruncatedAnswer, errc::TruncatedAnswer, exit_code::OutcomeUnknown,
       1},
      {errc::StaleConfiguration, errc::StaleConfiguration, exit_code::Refused,
       2},
      {errc::Conflict, errc::Conflict, exit_code::Refused, 1},
      {errc::StoreUnreachable, errc::StoreUnreachable, exit_code::Unreachable,
       1},
  };
  for (const failure_row &Case : Cases) {
    unsigned Asked = 0;
    const tool_run Run = runWith(
        [&](const http::address &,
            const http::request &) -> base::result<http::response> {
          ++Asked;
          return base::failure(Case.Kind);
        },
        {"key", "give", "a", "--operators", "127.0.0.1:1,127.0.0.1:2"});
    cr_assert(Run.Code == Case.Code);
    cr_assert(Asked == Case.Asked);
    cr_assert(has(Run.Err, base::kindOf(Case.Reported).Remedy));
  }
}

Test(operator_tool, settings_of_an_instance_serve_as_config) {
  const temporary_file Key("k\n");
  const temporary_file Config("[instance]\nname = a\n[listen]\noperators = "
                              "127.0.0.1:7\n[fleet]\noperator_key_file = " +
                              Key.Path.string() + "\n");
  std::string Shown;
  runWith(
      [&](const http::address &To,
          const http::request &Request) -> base::result<http::response> {
        Shown = toText(To) + " " + Request.Authorization;
        return base::failure(errc::Conflict);
      },
      {"status", "--config", Config.Path.string()});
  cr_assert(Shown == "127.0.0.1:7 Bearer k");
}

Test(operator_tool, a_time_line_merges_all_instances_by_hybrid_time) {
  const std::string Listed =
      R"({"instances":[{"operators":"127.0.0.1:2"},{"operators":"127.0.0.1:3"}]})";
  const auto Exchange =
      [&](const http::address &To,
          const http::request &Request) -> base::result<http::response> {
    if (To.Port == 3)
      return base::failure(errc::EndpointUnreachable);
    base::timeline Line(To.Port == 1 ? "left" : "right");
    const std::int64_t Wall = To.Port == 1 ? 2000 : 1000;
    record(Line, Wall, base::event_kind::RequestReceived, "a", {}, "id-1");
    record(Line, Wall, base::event_kind::MemberJoined, "b");
    const bool Lists = Request.Target == "/operators/instances";
    return http::response{200, Lists ? Listed : toJson(eventsOf(Line)), "", 0};
  };
  std::vector<std::string> Words{"timeline", "--operators", "127.0.0.1:1"};
  const tool_run All = runWith(Exchange, Words);
  cr_assert(All.Out.find("right") < All.Out.find("left"));
  cr_assert(has(All.Out, "member_joined"));
  cr_assert(has(All.Err, "Left out 127.0.0.1:3"));
  Words.insert(Words.end(), {"--request", "id-1", "--json"});
  const tool_run One = runWith(Exchange, Words);
  cr_assert(!has(One.Out, "member_joined"));
  cr_assert(base::eventsFromJson(One.Out)->size() == 2);
}

Test(operator_tool, the_usual_operator_requests_work) {
  tool_fixture Fleet;
  const temporary_file First(testing::sheetOf(0, {"a"}));
  const temporary_file Late(testing::sheetOf(0, {"b"}));
  const std::string Path = First.Path.string();
  cr_assert(has(Fleet.run({"sheet", "diff", Path}).Out, "added"));
  cr_assert(has(Fleet.run({"sheet", "submit", Path}).Out, "as version 1"));
  cr_assert(has(Fleet.run({"sheet", "submit", Path}).Out, "accepted before"));
  const tool_run Conflict = Fleet.run({"sheet", "submit", Late.Path.string()});
  cr_assert(Conflict.Code == exit_code::Refused);
  cr_assert(has(Conflict.Err, "customer a added"));
  const tool_run Given = Fleet.run({"key", "give", "a"});
  const std::string Key = wordAfter(Given.Out, "Key: ");
  const std::string Id = wordAfter(Given.Out, "Key id: ");
  cr_assert(isKeyInForce(*Fleet.Left, Key));
  cr_assert(has(Fleet.run({"customer", "show", "a"}).Out, Id));
  cr_assert(
      has(Fleet.run({"customer", "list"}).Out, "a     10    5      " + Id));
  cr_assert(has(Fleet.run({"sheet", "show"}).Out, Id));
  cr_assert(Fleet.run({"key", "withdraw", Id}).Code == exit_code::Ok);
  cr_assert(!isKeyInForce(*Fleet.Left, Key));
  cr_assert(!has(Fleet.run({"customer", "list"}).Out, Id));
  cr_assert(has(Fleet.run({"sheet", "history"}).Out, " UTC"));
  cr_assert(has(Fleet.run({"sheet", "show", "2"}).Out, Id));
  cr_assert(has(Fleet.run({"status"}).Out, "left"));
  cr_assert(Fleet.run({"customer", "show", "x"}).Code == exit_code::Refused);
}
