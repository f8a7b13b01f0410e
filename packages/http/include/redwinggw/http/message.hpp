#pragma once

#include <string>
#include <vector>

/// HTTP/1.1 requests and responses, independent of the HTTP library.
namespace redwinggw::http {

struct header {
  std::string Name;
  std::string Value;
};

struct request {
  std::string Method = "POST";
  std::string Target = "/";
  /// Value of the Authorization header; contains a key, so it is never logged.
  std::string Authorization;
  /// Name of the sending process; set by redwinggw's own programs.
  std::string From;
  std::string Body;
  /// Additional headers to send; not filled in for received requests.
  std::vector<header> Headers;
};

/// A Status of 0 makes the server close the connection without a response.
struct response {
  unsigned Status = 200;
  std::string Body;
  std::string ContentType = "application/json";
  /// Seconds for the Retry-After header; 0 leaves it out.
  unsigned RetryAfter = 0;
};

} // namespace redwinggw::http
