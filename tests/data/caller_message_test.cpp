#include "redwinggw/data/caller_message.hpp"

#include <boost/json.hpp>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::data;

namespace {

constexpr caller_fields Statement{true, true, false, false};

/// The detail of the error, empty when the body is accepted.
std::string errorOf(const std::string &Body) {
  const auto Request = parseCallerRequest(Body, Statement);
  return Request ? "" : Request.error().Detail;
}

std::string bodyWithSql(const std::string &Sql) {
  return boost::json::serialize(
      boost::json::object{{"service", "orders"}, {"sql", Sql}});
}

} // namespace

Test(caller_message, a_read_needs_a_service_and_a_statement) {
  cr_assert(errorOf(R"({"service":"orders","sql":"select 1"})").empty());
  cr_assert(errorOf(R"({"sql":"select 1"})").find("service") !=
            std::string::npos);
  cr_assert(errorOf("nonsense").find("JSON") != std::string::npos);
  cr_assert(errorOf(R"({"service":"orders","sql":"select 1","deadline_ms":0})")
                .find("deadline_ms") != std::string::npos);
}

Test(caller_message, a_write_requires_a_request_id) {
  const std::string Write =
      R"({"service":"o","sql":"delete from t","access":"write")";
  cr_assert(errorOf(Write + "}").find("request_id") != std::string::npos);
  cr_assert(errorOf(Write + R"(,"request_id":"1","issued_at":1764700000000})")
                .empty());
}

// Guards against a statement that ends the transaction, which would separate
// the request's effect from the record that prevents a second run.
Test(caller_message, transaction_control_hidden_in_a_statement_is_refused) {
  for (const char *Sql :
       {"commit", " COMMIT", "-- x\ncommit", "/* x */ ;rollback", "Begin",
        "pragma query_only=0", "select * from REDWINGGW_request", "", " -- "})
    cr_assert(!errorOf(bodyWithSql(Sql)).empty());
  cr_assert(errorOf(bodyWithSql("select 'commit'")).empty());
  cr_assert(errorOf(bodyWithSql("insert into beginnings values(1)")).empty());
}

Test(caller_message, a_refusal_reports_its_outcome_and_retry_time) {
  using std::chrono::milliseconds;
  const base::failure Failure(base::errc::OverRate, "", milliseconds(1200));
  const http::response Response = toResponse(Failure);
  cr_assert(Response.Status == 429);
  cr_assert(Response.RetryAfter == 2);
  const auto Body = boost::json::parse(Response.Body).as_object();
  cr_assert(Body.at("outcome").as_string() == "not_run");
  cr_assert(Body.at("retry_after_ms").as_int64() == 1200);
}
