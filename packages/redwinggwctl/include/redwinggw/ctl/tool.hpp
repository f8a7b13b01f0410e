#pragma once

#include "redwinggw/base/error.hpp"
#include "redwinggw/http/address.hpp"
#include "redwinggw/http/message.hpp"

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

/// redwinggwctl without its process: the operators' tool.
namespace redwinggw::ctl {

/// What the process exits with; docs/OPERATIONS.md states them.
enum class exit_code {
  Ok = 0,
  Refused = 1,
  Usage = 2,
  Unreachable = 3,
  OutcomeUnknown = 4,
};

/// Sends one request to an instance and waits for the answer.
using exchange_port = std::function<base::result<http::response>(
    const http::address &, const http::request &)>;

/// The exchange over the network. Blocks.
base::result<http::response> exchange(const http::address &Address,
                                      const http::request &Request);

/// Runs one command. \p Arguments are without the program's name. Answers go
/// to \p Out, what went wrong to \p Err.
exit_code runTool(const std::vector<std::string> &Arguments,
                  const exchange_port &Exchange, std::ostream &Out,
                  std::ostream &Err);

} // namespace redwinggw::ctl
