#include "redwinggw/data/request_trace.hpp"

namespace redwinggw::data {
namespace {

using base::event_kind;
using base::metric;

std::string_view accessName(access_kind Access) {
  return Access == access_kind::Write ? "write" : "read";
}

void countOutcome(statement_counters &Counters, base::outcome Outcome) {
  switch (Outcome) {
  case base::outcome::Done:
    ++Counters.Done;
    break;
  case base::outcome::NotRun:
    ++Counters.NotRun;
    break;
  case base::outcome::Unknown:
    ++Counters.Unknown;
    break;
  }
}

void noteDone(statement_core &Core, const request_trace &Trace,
              const caller_answer &Answer) {
  const base::label_values Labels{std::string(accessName(Trace.Access)),
                                  std::string(Answer.ServedBy)};
  observe(histogramOf(Core.Metrics, metric::RequestSeconds, Labels),
          base::now() - Trace.ReceivedAt);
  Core.Ports.Record(event_kind::RequestAnswered, Trace.Customer,
                    Answer.ServedBy, Trace.RequestId);
}

void noteFailed(statement_core &Core, const request_trace &Trace,
                const base::failure &Failure) {
  const base::error_kind &Kind = base::kindOf(kindOf(Failure));
  const base::label_values Labels{Trace.Customer, std::string(Kind.Name)};
  add(counterOf(Core.Metrics, metric::RefusalsTotal, Labels));
  const event_kind Event = Kind.Outcome == base::outcome::Unknown
                               ? event_kind::OutcomeUnknown
                               : event_kind::RequestRefused;
  Core.Ports.Record(Event, Trace.Customer, Kind.Name, Trace.RequestId);
}

} // namespace

void noteReceived(statement_core &Core, const request_trace &Trace) {
  Core.Ports.Record(event_kind::RequestReceived, Trace.Customer,
                    accessName(Trace.Access), Trace.RequestId);
}

void noteAnswered(statement_core &Core, const request_trace &Trace,
                  const base::result<caller_answer> &Answer) {
  ++Core.Counters.Requests;
  const base::outcome Outcome =
      Answer ? base::outcome::Done
             : base::kindOf(kindOf(Answer.error())).Outcome;
  countOutcome(Core.Counters, Outcome);
  if (Answer)
    noteDone(Core, Trace, *Answer);
  else
    noteFailed(Core, Trace, Answer.error());
}

} // namespace redwinggw::data
