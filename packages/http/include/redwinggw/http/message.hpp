#pragma once

#include <string>
#include <vector>

/// Requests and responses of HTTP/1.1 as the rest of the system sees them.
namespace redwinggw::http {

struct header {
  std::string Name;
  std::string Value;
};

struct request {
  std::string Method = "POST";
  std::string Target = "/";
  /// Value of the Authorization header; holds a key, so it is never logged.
  std::string Authorization;
  /// Name of the sending process; set by redwinggw's own programs.
  std::string From;
  std::string Body;
  /// Further headers to send; received ones are not kept.
  std::vector<header> Headers;
};

/// \p Status 0 closes the connection without an answer.
struct response {
  unsigned Status = 200;
  std::string Body;
  std::string ContentType = "application/json";
  /// Seconds for the Retry-After header; 0 leaves it out.
  unsigned RetryAfter = 0;
};

} // namespace redwinggw::http
