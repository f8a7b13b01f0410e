#pragma once

#include "redwinggw/data/endpoint.hpp"

#include <boost/json/object.hpp>

#include <memory>
#include <string>
#include <unordered_map>

struct sqlite3;
struct sqlite3_stmt;

/// SQL on an in-memory SQLite database. Handles of one database share a cache
/// and lock whole tables until their transaction ends, which makes transactions
/// serializable. No call blocks: a call that needs a held lock returns Locked.
namespace redwinggw::standin {

enum class sql_status { Ok, Locked, Unique, Failed };

struct sql_result {
  sql_status Status = sql_status::Ok;
  /// Error message of a failure.
  std::string Detail;
  /// Columns, rows and changes as specified in docs/ENDPOINTS.md.
  boost::json::object Result;
  bool Wrote = false;
};

/// One connection to the database \p Name of this process. Move-only; used
/// from one thread. Destroying it rolls its transaction back.
class database {
public:
  /// Throws std::runtime_error when SQLite cannot open it.
  explicit database(const std::string &Name);
  database(database &&) noexcept;
  database &operator=(database &&) noexcept;
  ~database();

  /// With \p Writes it takes the write lock immediately, so that two
  /// transactions cannot deadlock by both upgrading from a read lock.
  sql_status begin(bool Writes);
  sql_status commit();
  void rollback();

  /// Runs one statement. Transaction control, pragmas and ATTACH are refused,
  /// because they cannot be replayed from the log.
  sql_result execute(const data::statement &Statement, bool ReadOnly);

private:
  struct state;
  using statement_cache = std::unordered_map<std::string, sqlite3_stmt *>;

  sql_status control(const char *Sql);
  sql_result failed(int Code) const;
  sqlite3_stmt *prepared(statement_cache &Cache, const std::string &Sql,
                         sql_result &Result);
  void readRows(sqlite3_stmt *Statement, sql_result &Result);

  std::unique_ptr<state> State;
};

/// Splits an SQL script into its statements.
std::vector<data::statement> statementsOf(const std::string &Script);

} // namespace redwinggw::standin
