#pragma once

#include "redwinggw/base/task.hpp"
#include "redwinggw/http/message.hpp"

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace redwinggw::standin {

/// The users' store: rows in tables, changed under conditions. Used from one
/// thread.
class row_table {
public:
  /// Answers a request of an instance.
  http::response handle(const http::request &Request);

  /// What others than instances write.
  void put(const std::string &Table, const std::string &Key,
           const std::string &Value);
  void remove(const std::string &Table, const std::string &Key);
  std::string value(const std::string &Table, const std::string &Key) const;

  /// Turns every request away.
  bool Down = false;
  std::uint64_t Calls = 0;

private:
  struct row {
    std::string Value;
    std::uint64_t Version = 0;
  };
  using row_key = std::pair<std::string, std::string>;

  http::response read(const std::string &Query) const;
  http::response commit(const boost::json::object &Body);

  std::map<row_key, row> Rows;
  std::uint64_t Version = 1;
};

} // namespace redwinggw::standin
