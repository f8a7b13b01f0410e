#pragma once

#include "redwinggw/base/error.hpp"
#include "redwinggw/http/address.hpp"
#include "redwinggw/http/message.hpp"

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

/// redwinggwctl, the operators' command-line tool, as a library.
namespace redwinggw::ctl {

/// Exit codes of the process, documented in docs/OPERATIONS.md.
enum class exit_code {
  Ok = 0,
  Refused = 1,
  Usage = 2,
  Unreachable = 3,
  OutcomeUnknown = 4,
};

/// Sends one request to an instance and waits for the response.
using exchange_port = std::function<base::result<http::response>(
    const http::address &, const http::request &)>;

/// The exchange port that uses the network. Blocks.
base::result<http::response> exchange(const http::address &Address,
                                      const http::request &Request);

/// Runs one command. \p Arguments are without the program's name. Results are
/// printed to \p Out, errors and warnings to \p Err.
exit_code runTool(const std::vector<std::string> &Arguments,
                  const exchange_port &Exchange, std::ostream &Out,
                  std::ostream &Err);

} // namespace redwinggw::ctl
