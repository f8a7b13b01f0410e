#include "platform_probing.hpp"
#include "platform_primaries.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

/// Status probes of endpoints over new connections.
namespace redwinggw {
namespace {

namespace asio = boost::asio;
using base::instant;
using base::milliseconds;

/// A statement that is unanswered for this long justifies the slot that a probe
/// takes.
constexpr milliseconds ProbeAfter{250};
/// Time for the connection and the answer of a probe; a busy endpoint answers
/// within it.
constexpr milliseconds ProbeTimeout{450};
/// The customer name that the instance itself connects with.
constexpr std::string_view OwnCustomer = "-";

/// Whether a request may be sent to an endpoint that may be cold. After true it
/// must be sent at once.
bool mayAsk(session::endpoint_pool &Pool) {
  return takeToken(Pool.cold(), session::cold_use::Single, base::now()) !=
         session::token::None;
}

base::task<void> probe(platform_instance_ptr State, base::endpoint_name Name) {
  const auto *Entry = findEndpoint(State->Endpoints.Directory, Name);
  const auto Limited = poolOf(State->Endpoints, Name);
  if (Entry != nullptr && Limited && mayAsk(*Limited)) {
    const instant Sent = base::now();
    const session::endpoint_entry Copy = *Entry;
    const auto Status = co_await askStatus(*State, Copy, ProbeTimeout, Limited);
    const bool Up = Status.Outcome == session::exchange_outcome::Answered &&
                    (!Status.Error ||
                     Status.Error->Code != session::answer_code::Misrouted);
    if (const auto Pool = findPool(State->Endpoints, Name)) {
      if (Up)
        Pool->noteSuccess(Sent, base::now());
      else
        Pool->noteFailure(base::now());
    }
  }
  State->Probing.erase(Name);
}

} // namespace

base::task<session::status_exchange> askStatus(platform_instance_state &State,
                                               session::endpoint_entry Entry,
                                               milliseconds Time,
                                               session::pool_ptr Limited,
                                               status_request Request) {
  const auto Link = State.Endpoints.Factory();
  const instant Deadline = base::now() + Time;
  session::status_exchange Status;
  const session::exchange Opened =
      co_await Link->open(Entry, OwnCustomer, Deadline);
  Status.Outcome = Opened.Outcome;
  Status.Error = Opened.Answer.Error;
  if (Opened.Outcome != session::exchange_outcome::Answered || Status.Error)
    co_return Status;
  // The endpoint has answered, which is what a probe is to show.
  if (Limited && !mayAsk(*Limited))
    co_return Status;
  co_return co_await Link->command(Request.Command, Request.Term, Deadline);
}

namespace {

bool isInDoubt(const session::endpoint_pool &Pool, instant Now) {
  const bool Busy = Pool.open() > Pool.idle();
  const instant Oldest = Pool.oldestUnanswered().value_or(Now);
  const bool Silent = Busy && Now - Oldest > ProbeAfter &&
                      Now - Pool.health().LastSuccess > ProbeAfter &&
                      !waitsForTokens(Pool.cold(), Now);
  return Pool.health().Failures != 0 || Silent;
}

} // namespace

void probePrimariesInDoubt(const platform_instance_ptr &State) {
  const instant Now = base::now();
  for (const auto &[Name, Pool] : State->Endpoints.Pools) {
    if (!isInDoubt(*Pool, Now) || Pool->isEvacuated() ||
        State->Probing.contains(Name) ||
        primaryOf(*State, Pool->entry().Service) != Name)
      continue;
    State->Probing.insert(Name);
    asio::co_spawn(State->Context, probe(State, Name), asio::detached);
  }
}

} // namespace redwinggw
