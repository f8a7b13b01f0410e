#include "redwinggw/data/request_record.hpp"

#include "redwinggw/base/digest.hpp"

#include <boost/json.hpp>

namespace redwinggw::data {
namespace {

namespace json = boost::json;
using base::errc;
using base::failure;

/// Records are kept longer than the retention by the largest clock difference
/// between instances, so that no instance deletes a record that another would
/// still accept.
constexpr std::int64_t ClockMargin = 60LL * 60 * 1000;
/// Tolerance for a caller's clock that is ahead.
constexpr std::int64_t FutureMargin = 5LL * 60 * 1000;
constexpr int DeleteBatch = 1000;

constexpr const char *DoneText = "done";
constexpr const char *CancelledText = "cancelled";

} // namespace

base::result<void> checkAge(std::int64_t IssuedAt, std::int64_t WallNow) {
  if (IssuedAt > WallNow + FutureMargin)
    return failure(errc::BadRequest, "issued_at lies in the future");
  if (WallNow - IssuedAt > RecordRetention.count())
    return failure(errc::RequestExpired, "issued_at is over 24 hours ago");
  return {};
}

std::string requestDigest(const std::vector<std::string> &Parts) {
  // Each part is preceded by its length; otherwise different requests could be
  // concatenated to the same text.
  std::string All;
  for (const std::string &Part : Parts)
    All.append(std::to_string(Part.size())).append(":").append(Part);
  return base::sha256Hex(All);
}

statement createRecordTable() {
  return {"create table if not exists redwinggw_request("
          "customer text not null, id text not null, digest text not null, "
          "issued_at integer not null, state text not null, "
          "changes integer not null, result text not null, "
          "primary key(customer, id))",
          {}};
}

statement insertRecord(const request_identity &Identity, request_state State) {
  const char *Text = State == request_state::Done ? DoneText : CancelledText;
  return {"insert into redwinggw_request values(?, ?, ?, ?, ?, 0, '')",
          {json::value(Identity.Customer), json::value(Identity.Id),
           json::value(Identity.Digest), json::value(Identity.IssuedAt),
           json::value(Text)}};
}

statement storeChanges(const request_identity &Identity) {
  return {"update redwinggw_request set changes = changes() "
          "where customer = ? and id = ?",
          {json::value(Identity.Customer), json::value(Identity.Id)}};
}

statement storeResult(const request_identity &Identity, std::int64_t Changes,
                      std::string Result) {
  return {"update redwinggw_request set changes = ?, result = ? "
          "where customer = ? and id = ?",
          {json::value(Changes), json::value(Result),
           json::value(Identity.Customer), json::value(Identity.Id)}};
}

statement selectRecord(const request_identity &Identity) {
  return {"select state, digest, changes, result from redwinggw_request "
          "where customer = ? and id = ?",
          {json::value(Identity.Customer), json::value(Identity.Id)}};
}

statement deleteExpired(std::int64_t WallNow) {
  const std::int64_t Oldest = WallNow - RecordRetention.count() - ClockMargin;
  return {"delete from redwinggw_request where rowid in (select rowid from "
          "redwinggw_request where issued_at < ? order by rowid limit ?)",
          {json::value(Oldest), json::value(DeleteBatch)}};
}

std::optional<request_record> recordOf(const json::value &Result) {
  const json::array &Rows = Result.at("rows").as_array();
  if (Rows.empty())
    return std::nullopt;
  const json::array &Row = Rows.front().as_array();
  request_record Record;
  Record.State = Row.at(0).as_string() == CancelledText
                     ? request_state::Cancelled
                     : request_state::Done;
  Record.Digest = Row.at(1).as_string();
  Record.Changes = Row.at(2).to_number<std::int64_t>();
  Record.Result = Row.at(3).as_string();
  return Record;
}

bool isMissingTable(const failure &Failure) {
  return kindOf(Failure) == errc::StatementFailed &&
         Failure.Detail.find("no such table: redwinggw_request") !=
             std::string::npos;
}

retry_verdict classifyRetry(const request_record &Record,
                            const request_identity &Identity) {
  if (Record.State == request_state::Cancelled)
    return retry_verdict::Cancelled;
  if (!Identity.Digest.empty() && Record.Digest != Identity.Digest)
    return retry_verdict::Reused;
  return retry_verdict::Done;
}

} // namespace redwinggw::data
