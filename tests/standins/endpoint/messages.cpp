#include "messages.hpp"

#include "common/standin.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <iterator>
#include <span>

namespace redwinggw::standin {
namespace {

namespace json = boost::json;

std::vector<data::statement> statementsIn(const json::object &Body) {
  std::vector<data::statement> Statements;
  const json::value *List = Body.if_contains("statements");
  if (List == nullptr)
    return Statements;
  for (const json::value &Item : List->as_array()) {
    const json::object &Object = Item.as_object();
    data::statement Statement{textOf(Object, "sql"), {}};
    if (const json::value *Params = Object.if_contains("params"))
      Statement.Params = Params->as_array();
    Statements.push_back(std::move(Statement));
  }
  return Statements;
}

json::array historyArray(const std::vector<data::history_row> &History) {
  json::array Rows;
  for (const data::history_row &Row : History)
    Rows.push_back(json::object{{"term", Row.Term}, {"start", Row.Start}});
  return Rows;
}

json::object objectOf(const log_entry &Entry) {
  json::array Statements;
  for (const data::statement &Statement : Entry.Statements)
    Statements.push_back(
        json::object{{"sql", Statement.Sql}, {"params", Statement.Params}});
  return {{"term", Entry.Term}, {"statements", std::move(Statements)}};
}

} // namespace

data::run_request runOf(const json::object &Body) {
  data::run_request Request;
  Request.Begin = flagOf(Body, "begin");
  Request.ReadOnly = flagOf(Body, "read_only");
  Request.Commit = flagOf(Body, "commit");
  Request.Rollback = flagOf(Body, "rollback");
  if (const auto Term = numberOf(Body, "expect_term"); Term != 0)
    Request.ExpectTerm = Term;
  Request.Statements = statementsIn(Body);
  return Request;
}

json::object objectOf(const data::endpoint_state &State,
                      std::string_view Group) {
  return {
      {"name", State.Name},           {"group", Group},
      {"role", roleName(State.Role)}, {"term", State.Term},
      {"order", State.Order},         {"received", State.Received},
      {"applied", State.Applied},     {"history", historyArray(State.History)}};
}

json::object replicateBody(const replica &Sender, base::log_position From,
                           std::size_t Count) {
  json::array Entries;
  std::ranges::transform(
      std::span(Sender.Log).subspan(From, Count), std::back_inserter(Entries),
      [](const log_entry &Entry) { return objectOf(Entry); });
  return {{"term", Sender.Term},
          {"order", Sender.Order},
          {"history", historyArray(Sender.History)},
          {"received", Sender.Log.size()},
          {"from", From},
          {"entries", std::move(Entries)}};
}

replicate_message replicateOf(const json::object &Body) {
  replicate_message Message;
  Message.Term = numberOf(Body, "term");
  Message.Order = textOf(Body, "order");
  Message.Received = numberOf(Body, "received");
  Message.From = numberOf(Body, "from");
  for (const json::value &Row : Body.at("history").as_array())
    Message.History.push_back({numberOf(Row.as_object(), "term"),
                               numberOf(Row.as_object(), "start")});
  for (const json::value &Entry : Body.at("entries").as_array())
    Message.Entries.push_back({numberOf(Entry.as_object(), "term"),
                               statementsIn(Entry.as_object()),
                               {}});
  return Message;
}

} // namespace redwinggw::standin
