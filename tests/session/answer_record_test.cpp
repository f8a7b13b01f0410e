#include "fake_endpoint.hpp"

#include "redwinggw/base/log.hpp"

#include <cstdio>
#include <string>
#include <string_view>
#include <unistd.h>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::session;
using namespace redwinggw::session::testing;

namespace {

/// Collects what is logged from construction until text() is called.
class captured_log {
public:
  captured_log() : File(std::tmpfile()), Stdout(::dup(STDOUT_FILENO)) {
    std::fflush(stdout);
    ::dup2(::fileno(File), STDOUT_FILENO);
    base::startLog(base::log_level::Info, base::log_format::Json, "i0");
  }
  captured_log(const captured_log &) = delete;
  captured_log &operator=(const captured_log &) = delete;
  ~captured_log() { std::fclose(File); }

  std::string text() {
    base::flushLog();
    ::dup2(Stdout, STDOUT_FILENO);
    ::close(Stdout);
    base::setLogLevel(base::log_level::Error);
    std::string Text;
    cr_assert(std::fseek(File, 0, SEEK_SET) == 0);
    for (int Byte = std::fgetc(File); Byte != EOF; Byte = std::fgetc(File))
      Text.push_back(static_cast<char>(Byte));
    return Text;
  }

private:
  std::FILE *File;
  int Stdout;
};

bool hasText(const std::string &Text, std::string_view Part) {
  return Text.find(Part) != std::string::npos;
}

void runTransaction(core_fixture &Fixture) {
  caller_session Session = Fixture.open("own");
  Fixture.run(Session, statement_kind::Begin, "BEGIN");
  Fixture.write(Session);
  Fixture.run(Session, statement_kind::Commit, "COMMIT");
}

} // namespace

// Guards against served statements whose log line names a failure that did not
// happen.
Test(answer_record, gives_no_reason_for_a_transaction_that_began_at_once) {
  core_fixture Fixture;
  captured_log Log;
  runTransaction(Fixture);
  const std::string Text = Log.text();
  cr_assert(hasText(Text, "\"served\""));
  cr_assert(!hasText(Text, "did not begin"));
}

Test(answer_record, names_the_endpoint_that_did_not_begin_a_transaction) {
  core_fixture Fixture;
  Fixture.Group.Script = [](const received_statement &) {
    return std::optional(refused(answer_code::Busy));
  };
  captured_log Log;
  runTransaction(Fixture);
  cr_assert(hasText(Log.text(), "p did not begin the transaction"));
}
