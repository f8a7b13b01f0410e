#include "database.hpp"

#include <sqlite3.h>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace redwinggw::standin {
namespace {

namespace json = boost::json;

constexpr std::size_t MaxPrepared = 256;

constexpr std::array RefusedActions{SQLITE_TRANSACTION, SQLITE_SAVEPOINT,
                                    SQLITE_ATTACH, SQLITE_DETACH,
                                    SQLITE_PRAGMA};

sql_status statusOf(int Code) {
  constexpr int PrimaryCode = 0xff;
  if (Code == SQLITE_OK || Code == SQLITE_DONE || Code == SQLITE_ROW)
    return sql_status::Ok;
  if (Code == SQLITE_CONSTRAINT_UNIQUE ||
      Code == SQLITE_CONSTRAINT_PRIMARYKEY || Code == SQLITE_CONSTRAINT_ROWID)
    return sql_status::Unique;
  const int Primary = Code & PrimaryCode;
  if (Primary == SQLITE_LOCKED || Primary == SQLITE_BUSY)
    return sql_status::Locked;
  return sql_status::Failed;
}

int bindValue(sqlite3_stmt *Statement, int Index, const json::value &Value) {
  switch (Value.kind()) {
  case json::kind::null:
    return sqlite3_bind_null(Statement, Index);
  case json::kind::bool_:
    return sqlite3_bind_int(Statement, Index, Value.get_bool() ? 1 : 0);
  case json::kind::int64:
    return sqlite3_bind_int64(Statement, Index, Value.get_int64());
  case json::kind::uint64:
    return sqlite3_bind_int64(Statement, Index,
                              static_cast<std::int64_t>(Value.get_uint64()));
  case json::kind::double_:
    return sqlite3_bind_double(Statement, Index, Value.get_double());
  case json::kind::string: {
    const json::string &Text = Value.get_string();
    return sqlite3_bind_text(Statement, Index, Text.data(),
                             static_cast<int>(Text.size()), SQLITE_TRANSIENT);
  }
  default:
    return SQLITE_MISMATCH;
  }
}

int bindAll(sqlite3_stmt *Statement, const json::array &Params) {
  const auto Wanted =
      static_cast<std::size_t>(sqlite3_bind_parameter_count(Statement));
  if (Wanted != Params.size())
    return SQLITE_RANGE;
  for (std::size_t Index = 0; Index < Params.size(); ++Index)
    if (const int Code =
            bindValue(Statement, static_cast<int>(Index) + 1, Params[Index]);
        Code != SQLITE_OK)
      return Code;
  return SQLITE_OK;
}

json::value cellOf(sqlite3_stmt *Statement, int Column) {
  switch (sqlite3_column_type(Statement, Column)) {
  case SQLITE_INTEGER:
    return sqlite3_column_int64(Statement, Column);
  case SQLITE_FLOAT:
    return sqlite3_column_double(Statement, Column);
  case SQLITE_NULL:
    return nullptr;
  default: {
    const auto *Bytes =
        reinterpret_cast<const char *>(sqlite3_column_text(Statement, Column));
    const auto Size = sqlite3_column_bytes(Statement, Column);
    return json::string(Bytes, static_cast<std::size_t>(Size));
  }
  }
}

/// SQLite authorizer that refuses RefusedActions, except in the handle's own
/// begin, commit and rollback.
int authorize(void *Internal, int Action, const char *, const char *,
              const char *, const char *) {
  const bool Refused =
      std::ranges::find(RefusedActions, Action) != RefusedActions.end();
  return Refused && !*static_cast<bool *>(Internal) ? SQLITE_DENY : SQLITE_OK;
}

} // namespace

struct database::state {
  state() = default;
  state(const state &) = delete;
  state &operator=(const state &) = delete;
  ~state() {
    clear(Prepared);
    clear(Control);
    sqlite3_close(Handle);
  }

  static void clear(statement_cache &Cache) {
    for (const auto &[Sql, Statement] : Cache)
      sqlite3_finalize(Statement);
    Cache.clear();
  }

  sqlite3 *Handle = nullptr;
  bool Internal = false;
  statement_cache Prepared;
  /// Begin, commit and rollback. A separate cache, so that a caller's statement
  /// of the same text cannot use one of them and bypass the authorizer.
  statement_cache Control;
};

database::database(const std::string &Name) : State(std::make_unique<state>()) {
  const std::string Uri = "file:" + Name + "?mode=memory&cache=shared";
  constexpr int Flags = SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE |
                        SQLITE_OPEN_URI | SQLITE_OPEN_NOMUTEX |
                        SQLITE_OPEN_SHAREDCACHE;
  if (sqlite3_open_v2(Uri.c_str(), &State->Handle, Flags, nullptr) != SQLITE_OK)
    throw std::runtime_error("SQLite cannot open " + Name);
  sqlite3_extended_result_codes(State->Handle, 1);
  sqlite3_set_authorizer(State->Handle, authorize, &State->Internal);
}

database::database(database &&) noexcept = default;
database &database::operator=(database &&) noexcept = default;
database::~database() = default;

sql_status database::begin(bool Writes) {
  return control(Writes ? "begin immediate" : "begin");
}

sql_status database::commit() { return control("commit"); }

void database::rollback() {
  if (sqlite3_get_autocommit(State->Handle) == 0)
    control("rollback");
}

sql_status database::control(const char *Sql) {
  State->Internal = true;
  sql_result Result;
  sqlite3_stmt *Statement = prepared(State->Control, Sql, Result);
  if (Statement != nullptr) {
    Result.Status = statusOf(sqlite3_step(Statement));
    sqlite3_reset(Statement);
  }
  State->Internal = false;
  return Result.Status;
}

sql_result database::execute(const data::statement &Statement, bool ReadOnly) {
  sql_result Result;
  sqlite3_stmt *Prepared = prepared(State->Prepared, Statement.Sql, Result);
  if (Prepared == nullptr)
    return Result;
  Result.Wrote = sqlite3_stmt_readonly(Prepared) == 0;
  if (Result.Wrote && ReadOnly)
    return {sql_status::Failed,
            "cannot write in a read-only transaction",
            {},
            false};
  if (const int Code = bindAll(Prepared, Statement.Params); Code != SQLITE_OK)
    return {sql_status::Failed, sqlite3_errstr(Code), {}, false};
  readRows(Prepared, Result);
  sqlite3_reset(Prepared);
  return Result;
}

void database::readRows(sqlite3_stmt *Statement, sql_result &Result) {
  const int Columns = sqlite3_column_count(Statement);
  json::array Names;
  for (int Column = 0; Column < Columns; ++Column)
    Names.emplace_back(sqlite3_column_name(Statement, Column));
  json::array Rows;
  int Code = sqlite3_step(Statement);
  for (; Code == SQLITE_ROW; Code = sqlite3_step(Statement)) {
    json::array Cells;
    for (int Column = 0; Column < Columns; ++Column)
      Cells.push_back(cellOf(Statement, Column));
    Rows.push_back(std::move(Cells));
  }
  if (Code != SQLITE_DONE) {
    Result = failed(Code);
    return;
  }
  const int Changes = Result.Wrote ? sqlite3_changes(State->Handle) : 0;
  Result.Result = {{"columns", std::move(Names)},
                   {"rows", std::move(Rows)},
                   {"changes", Changes}};
}

sql_result database::failed(int Code) const {
  return {statusOf(Code), sqlite3_errmsg(State->Handle), {}, false};
}

sqlite3_stmt *database::prepared(statement_cache &Cache, const std::string &Sql,
                                 sql_result &Result) {
  const auto Found = Cache.find(Sql);
  if (Found != Cache.end())
    return Found->second;
  if (Cache.size() >= MaxPrepared)
    state::clear(Cache);
  sqlite3_stmt *Statement = nullptr;
  const char *Rest = nullptr;
  const int Code =
      sqlite3_prepare_v3(State->Handle, Sql.c_str(), -1,
                         SQLITE_PREPARE_PERSISTENT, &Statement, &Rest);
  if (Code != SQLITE_OK) {
    Result = failed(Code);
    return nullptr;
  }
  const std::string_view Tail(Rest);
  if (Statement == nullptr ||
      Tail.find_first_not_of(" \t\r\n;") != std::string_view::npos) {
    sqlite3_finalize(Statement);
    Result = {sql_status::Failed, "expected exactly one statement", {}, false};
    return nullptr;
  }
  Cache.emplace(Sql, Statement);
  return Statement;
}

std::vector<data::statement> statementsOf(const std::string &Script) {
  std::vector<data::statement> Statements;
  std::string Part;
  for (const char Character : Script) {
    Part.push_back(Character);
    if (Character != ';' || sqlite3_complete(Part.c_str()) == 0)
      continue;
    Statements.push_back({Part, {}});
    Part.clear();
  }
  return Statements;
}

} // namespace redwinggw::standin
