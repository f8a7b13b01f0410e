#include "redwinggw/base/log_text.hpp"

#include <boost/json.hpp>

#include <string>

#include "criterion_test.hpp"

using namespace redwinggw::base;

namespace {

/// The length of \p Text as a reader of a structured line sees it.
std::size_t lengthRead(const std::string &Text) {
  const std::string Line = "[\"" + logText(Text) + "\"]";
  boost::system::error_code Error;
  const auto Value = boost::json::parse(Line, Error);
  cr_assert(!Error);
  return Value.as_array().front().as_string().size();
}

} // namespace

// A caller's bytes made a line that no reader could parse.
Test(log_text, escapes_texts_of_any_bytes) {
  cr_assert(logText("plain text") == "plain text");
  cr_assert(logText("a\"b\\c") == R"(a\"b\\c)");
  cr_assert(logText("a\r\nb") == R"(a\u000d\u000ab)");
  cr_assert(logText("\xff") == R"(\u00ff)");
  std::string All;
  for (int Byte = 0; Byte < 256; ++Byte)
    All += static_cast<char>(Byte);
  cr_assert(lengthRead(All) > 0);
}

// One caller's long id displaced the lines of all others.
Test(log_text, cuts_long_texts) {
  constexpr std::size_t Megabyte = std::size_t{1} << 20U;
  cr_assert(lengthRead(std::string(Megabyte, 'x')) < 1000);
  cr_assert(logText(std::string(Megabyte, '\n')).size() < 10'000);
}
