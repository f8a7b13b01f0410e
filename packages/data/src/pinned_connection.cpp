#include "redwinggw/data/pinned_connection.hpp"

#include "redwinggw/data/statement_core.hpp"

#include <algorithm>

namespace redwinggw::data {
namespace {

constexpr base::milliseconds PinRetryAfter{100};

run_result failed(base::failure Failure) {
  run_result Result;
  Result.Failed.Failure = std::move(Failure);
  return Result;
}

base::task<base::result<void>> ensureConnection(pinned_connection &Pinned,
                                                base::instant Deadline) {
  if (Pinned.Connection)
    co_return base::result<void>();
  auto Taken = co_await Pinned.Target->pool().acquire(Deadline);
  if (!Taken)
    co_return Taken.error();
  Pinned.Connection = std::move(*Taken);
  Pinned.Target->adjustPinned(1);
  co_return base::result<void>();
}

/// The first run waits in the queue like any request. Later runs skip the
/// queue, because the running requests may wait for this transaction's locks.
base::task<base::result<void>> acquireSlot(const pinned_connection &Pinned,
                                           const call &Call) {
  dispatcher &Target = *Pinned.Target;
  if (Pinned.Connection) {
    Target.acquireImmediately(Call.Customer);
    co_return base::result<void>();
  }
  if (!Target.mayPin())
    co_return base::failure(base::errc::Overloaded,
                            "open transactions at " + Target.endpoint().Name,
                            PinRetryAfter);
  co_return co_await Target.acquire(Call.Customer, Call.Deadline);
}

} // namespace

base::task<run_result> runPinned(statement_core &Core,
                                 pinned_connection &Pinned, call &Call,
                                 run_request Request) {
  const std::shared_ptr<dispatcher> Target = Pinned.Target;
  const auto Acquired = co_await acquireSlot(Pinned, Call);
  if (!Acquired)
    co_return failed(Acquired.error());
  if (const auto Allowed = mayStillRun(Core, Call); !Allowed) {
    Target->release(Call.Customer, {}, std::nullopt);
    co_return failed(Allowed.error());
  }
  const base::instant Deadline =
      std::min(Call.Deadline, base::now() + Core.Settings.TryTimeout);
  const auto Ready = co_await ensureConnection(Pinned, Deadline);
  if (!Ready) {
    Target->release(Call.Customer, {}, std::nullopt);
    co_return failed(Ready.error());
  }
  Core.Ports.Record(base::event_kind::RequestSent, Target->endpoint().Name,
                    "transaction", Call.Request.RequestId);
  const base::instant SentAt = base::now();
  run_result Ran = co_await run(Pinned.Connection->Client, Request,
                                Core.Settings.Instance, Deadline);
  const bool Answered =
      Ran.Answer.has_value() || Ran.Failed.Refusal != refusal::None;
  Core.Ports.NoteTraffic(Target->endpoint().Group, Target->endpoint().Name,
                         Answered, SentAt);
  std::optional<base::microseconds> Busy;
  if (Ran.Answer)
    Busy = Ran.Answer->Busy;
  Target->release(Call.Customer, base::now() - SentAt, Busy);
  if (!Answered) {
    unpin(Core, Pinned, false);
    Target->pool().closeUnansweredSince(SentAt);
  }
  co_return Ran;
}

void unpin(statement_core &, pinned_connection &Pinned, bool Clean) {
  if (!Pinned.Connection)
    return;
  if (Clean)
    Pinned.Target->pool().release(std::move(Pinned.Connection));
  else
    Pinned.Target->pool().discard(std::move(Pinned.Connection));
  Pinned.Connection.reset();
  Pinned.Target->adjustPinned(-1);
}

} // namespace redwinggw::data
