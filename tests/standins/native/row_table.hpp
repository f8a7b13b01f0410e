#pragma once

#include "redwinggw/base/task.hpp"
#include "redwinggw/http/message.hpp"

#include <boost/json/object.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace redwinggw::standin {

/// Simulation of the users' row store: tables with conditional commits. Used
/// from one thread.
class row_table {
public:
  /// The value that is served of the row at a key that has a value.
  using row_view =
      std::function<std::string(const std::string &, const std::string &)>;

  /// Handles a request of an instance, which sees the rows through \p View.
  http::response handle(const http::request &Request,
                        const row_view &View = {});

  /// Direct access for the test, bypassing the protocol.
  void put(const std::string &Table, const std::string &Key,
           const std::string &Value);
  void remove(const std::string &Table, const std::string &Key);
  std::string value(const std::string &Table, const std::string &Key) const;

  /// Rejects every request with status 503.
  bool Down = false;
  /// Rows of one response.
  std::size_t PageSize = 500;
  std::uint64_t Calls = 0;

private:
  struct row {
    std::string Value;
    std::uint64_t Version = 0;
  };
  using row_key = std::pair<std::string, std::string>;

  http::response read(const std::string &Query, const row_view &View) const;
  http::response commit(const boost::json::object &Body);

  std::map<row_key, row> Rows;
  std::uint64_t Version = 1;
};

} // namespace redwinggw::standin
