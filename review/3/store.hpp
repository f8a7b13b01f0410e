#pragma once

#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

/// A stand-in of the platform's metadata store: rows in tables, with
/// transactions under conditions. Not thread safe.
namespace review {

namespace json = boost::json;
using steady = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

std::string toBase64(std::string_view Bytes);
std::string fromBase64(std::string_view Text);

struct response {
  unsigned Status = 200;
  std::string Body;
};

struct row {
  std::string Value;
  std::uint64_t Version = 0;
};

struct store {
  /// By table and key; all rows are in the empty part.
  std::map<std::pair<std::string, std::string>, row> Rows;
  std::uint64_t Version = 0;
  /// Called for each row that a transaction has written.
  std::function<void(const std::string &Table, const std::string &Key,
                     const std::string &Value)>
      OnWrite;

  void put(const std::string &Table, const std::string &Key, std::string Value);
  void remove(const std::string &Table, const std::string &Key);
  /// Serves one call; \p Target holds path and query.
  response handle(std::string_view Method, std::string_view Target,
                  std::string_view Body);

private:
  response get(std::string_view Query);
  response transact(std::string_view Body);
  json::object describe(const std::string &Table, const std::string &Key) const;
};

} // namespace review
