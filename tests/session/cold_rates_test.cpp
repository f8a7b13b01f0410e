#include "redwinggw/session/cold_rates.hpp"

#include "redwinggw/session/directory.hpp"

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::session;
using base::instant;
using base::milliseconds;

namespace {

constexpr cold_limits Limits{1.5, 5};
constexpr cold_permission_limits Times;
constexpr instant Start{std::chrono::hours(1)};

cold_rate coldRate(double PerSecond, cold_limits Bound = Limits) {
  cold_rate Rate;
  configure(Rate, Bound, PerSecond);
  setColdUntil(Rate, Start + std::chrono::hours(1), Start);
  return Rate;
}

/// The most requests sent within one second and ArrivalSpread.
std::size_t mostInWindow(std::vector<instant> Sent) {
  std::ranges::sort(Sent);
  std::size_t Most = 0;
  auto First = Sent.begin();
  for (auto Last = Sent.begin(); Last != Sent.end(); ++Last) {
    while (*Last - *First > std::chrono::seconds(1) + ArrivalSpread)
      ++First;
    Most = std::max(Most, static_cast<std::size_t>(Last - First) + 1);
  }
  return Most;
}

/// A store with one row.
struct one_row {
  std::uint64_t Version = 0;
  std::uint64_t Last = 0;
  std::string Text;

  std::optional<std::uint64_t> write(std::uint64_t Check, std::string Value) {
    if (Check != Version)
      return std::nullopt;
    Version = ++Last;
    Text = std::move(Value);
    return Version;
  }
};

/// An instance that wants to send to a cold endpoint all the time, whatever it
/// sees of the others.
struct sender {
  std::string Name;
  cold_rate Rate = coldRate(20);
  cold_permission Permission;
  cold_permission_limits Times;
  bool Wanted = true;
  bool ReachesStore = true;

  void act(one_row &Row, instant Now) {
    if (!Wanted)
      Rate.SendUntil.reset();
    const auto Step = nextStep(Permission, Wanted, Times, Now);
    if (!ReachesStore) {
      if (Step == permission_step::Write)
        onPermissionWritten(Permission, std::nullopt, Now);
    } else if (Step == permission_step::Release) {
      if (Row.Version == Permission.OwnVersion)
        Row.Version = 0;
      Permission = {};
    } else if (Step == permission_step::Write) {
      write(Row, Permission.OwnVersion.value_or(0), Now);
    } else if (Step == permission_step::Read) {
      if (const auto Check = onPermissionRead(Permission, Row.Version,
                                              Row.Text == Name, Times, Now))
        write(Row, *Check, Now);
    }
    const auto Until = sendUntil(Permission, Times);
    if (Wanted && Until && Now < *Until)
      permitSending(Rate, *Until, Now);
  }
  void write(one_row &Row, std::uint64_t Check, instant Now) {
    onPermissionWritten(Permission, Row.write(Check, Name), Now);
  }
};

/// Several senders and the times at which they sent.
struct senders {
  explicit senders(std::size_t Count) {
    for (std::size_t Number = 0; Number < Count; ++Number)
      All.push_back({"i" + std::to_string(Number)});
  }
  void run(milliseconds Time) {
    for (const instant End = Now + Time; Now < End; Now += milliseconds(5))
      for (sender &Sender : All) {
        if (Now.time_since_epoch() % milliseconds(200) == milliseconds(0))
          Sender.act(Row, Now);
        while (takeToken(Sender.Rate, cold_use::Single, Now) == token::Taken) {
          Sent.push_back(Now);
          By[Sender.Name].push_back(Now);
        }
      }
  }
  bool sentSince(const std::string &Name, instant Since) {
    return !By[Name].empty() && By[Name].back() >= Since;
  }

  std::vector<sender> All;
  one_row Row;
  instant Now = Start;
  std::vector<instant> Sent;
  std::map<std::string, std::vector<instant>> By;
};

constexpr std::size_t Bound = 35;

} // namespace

// Guards against a burst after a pause that exceeds the bound, for slow and
// fast services and bounds with little room.
Test(cold_rates, keep_the_bound_in_every_window_of_one_sender) {
  std::minstd_rand Random(1);
  for (const double PerSecond : {0.5, 2.0, 20.0, 200.0})
    for (const cold_limits Given :
         {Limits, cold_limits{1, 5}, cold_limits{1.1, 0}, cold_limits{0, 0}}) {
      cold_rate Rate = coldRate(PerSecond, Given);
      permitSending(Rate, Start + std::chrono::hours(1), Start);
      std::vector<instant> Sent;
      for (instant Now = Start; Now < Start + std::chrono::seconds(20);
           Now += milliseconds(Random() % 400))
        while (takeToken(Rate, cold_use::Single, Now) == token::Taken)
          Sent.push_back(Now);
      cr_assert(static_cast<double>(mostInWindow(Sent)) <=
                PerSecond * Given.Overshoot + Given.Slack);
    }
  cold_rate Usual = coldRate(20);
  permitSending(Usual, Start + std::chrono::hours(1), Start);
  cr_assert(Usual.Rate == 20 && Usual.Depth >= 4);
}

// Guards against an orderer's inquiries, of two requests each and without
// tokens, that exceed the bound together with what the holder sends and one
// late request.
Test(cold_rates, leave_room_for_the_inquiries_of_an_orderer) {
  cold_rate Holder = coldRate(20);
  permitSending(Holder, Start + std::chrono::hours(1), Start);
  cold_rate Orderer = coldRate(20);
  constexpr milliseconds Takes{400};
  std::vector<instant> Sent;
  // The holder begins with a full bucket, while the second inquiry is due.
  for (instant Now = Start; Now < Start + std::chrono::seconds(20);
       Now += milliseconds(10)) {
    if (Now - Start > milliseconds(1500))
      while (takeToken(Holder, cold_use::Single, Now) == token::Taken)
        Sent.push_back(Now);
    if (!takeInquiry(Orderer, Now))
      continue;
    Sent.insert(Sent.end(), {Now, Now + Takes});
    noteInquiryEnded(Orderer, Now + Takes);
  }
  cr_assert(mostInWindow(Sent) + 1 <= Bound);
  cold_rate Warm;
  cr_assert(takeInquiry(Warm, Start) && takeInquiry(Warm, Start));
}

// Guards against two instances that both consider themselves the owner, as
// where both reach a majority and not each other: both send at the full rate.
Test(cold_rates, let_one_of_two_owners_send) {
  senders Fleet(2);
  Fleet.run(milliseconds(10000));
  cr_assert(Fleet.By.size() == 1, "two instances sent");
  cr_assert(mostInWindow(Fleet.Sent) <= Bound);
  cr_assert(Fleet.Sent.size() > 150, "too little was sent");
}

// Guards against a change of owner while cold: the former owner releases, and
// the next one must neither wait long nor start with a full bucket.
Test(cold_rates, pass_to_the_next_owner) {
  senders Fleet(2);
  Fleet.All[1].Wanted = false;
  for (int Round = 0; Round < 10; ++Round) {
    Fleet.run(milliseconds(1500));
    std::swap(Fleet.All[0].Wanted, Fleet.All[1].Wanted);
  }
  cr_assert(mostInWindow(Fleet.Sent) <= Bound);
  cr_assert(Fleet.By["i0"].size() > 50 && Fleet.By["i1"].size() > 50);
}

// Guards against an owner that is cut off and goes on sending beside the next
// one. With a takeover before the permission ends both send: the guard is
// needed.
Test(cold_rates, stop_a_sender_that_cannot_renew) {
  for (const bool Guarded : {true, false}) {
    senders Fleet(2);
    Fleet.All[1].Wanted = false;
    if (!Guarded)
      Fleet.All[1].Times.TakeoverAfter = milliseconds(400);
    Fleet.run(milliseconds(2200));
    Fleet.All[0].ReachesStore = false;
    Fleet.All[1].Wanted = true;
    const instant Cut = Fleet.Now;
    Fleet.run(milliseconds(8000));
    cr_assert(!Fleet.sentSince("i0", Cut + milliseconds(4000)));
    cr_assert(Fleet.sentSince("i1", Cut + milliseconds(4000)));
    cr_assert((Fleet.By["i0"].back() < Fleet.By["i1"].front()) == Guarded);
    cr_assert((mostInWindow(Fleet.Sent) <= Bound) == Guarded);
  }
}

// Guards against a restarted instance that takes its former row for a
// permission, and against one that waits for its own write of unknown outcome.
Test(cold_rates, know_rows_of_this_process_only) {
  one_row Row;
  Row.write(0, "a 1");
  cold_permission Permission;
  cr_assert(!onPermissionRead(Permission, Row.Version, false, Times, Start));
  cr_assert(!onPermissionRead(Permission, Row.Version, false, Times,
                              Start + milliseconds(3100)));
  cr_assert(onPermissionRead(Permission, Row.Version, false, Times,
                             Start + milliseconds(3200)));
  cr_assert(onPermissionRead(Permission, 9, true, Times, Start) == 9);
  cr_assert(!sendUntil(Permission, Times));
}

// Guards against a renewal of unknown outcome that prolongs the permission.
Test(cold_rates, count_no_write_of_unknown_outcome) {
  cold_permission Permission;
  onPermissionWritten(Permission, 7, Start);
  onPermissionWritten(Permission, std::nullopt, Start + milliseconds(1000));
  cr_assert(sendUntil(Permission, Times) == Start + Times.ValidFor);
  cr_assert(nextStep(Permission, true, Times, Start + milliseconds(1100)) ==
            permission_step::Read);
}

// Guards against tokens of a former permission that are spent right after
// another holder has spent its own.
Test(cold_rates, begin_each_permission_with_an_empty_bucket) {
  cold_rate Rate = coldRate(20);
  permitSending(Rate, Start + milliseconds(2500), Start);
  const instant Later = Start + std::chrono::seconds(2);
  cr_assert(takeToken(Rate, cold_use::Single, Later) == token::Taken);
  const instant Again = Start + std::chrono::seconds(4);
  permitSending(Rate, Again + milliseconds(2500), Again);
  cr_assert(takeToken(Rate, cold_use::Single, Again) == token::None);
}

// Guards against transactions that can begin and not end, and against reserved
// tokens that come on top of a full bucket.
Test(cold_rates, keep_a_token_for_the_end_of_a_transaction) {
  const auto Rate = std::make_shared<cold_rate>(coldRate(20));
  permitSending(*Rate, Start + milliseconds(4500), Start);
  const instant Later = Start + std::chrono::seconds(2);
  std::vector<end_reserve> Open;
  std::size_t Sent = 0;
  while (takeToken(*Rate, cold_use::Begin, Later) == token::Taken) {
    Open.emplace_back(Rate);
    ++Sent;
  }
  while (takeToken(*Rate, cold_use::Single, Later) == token::Taken)
    ++Sent;
  Open.pop_back();
  for (end_reserve &End : Open) {
    cr_assert(End.spend(Later));
    ++Sent;
  }
  cr_assert(static_cast<double>(Sent) <= Rate->Depth && Open.size() > 1);
  cr_assert(Rate->Reserved == 0);
  const instant Full = Later + std::chrono::seconds(2);
  cr_assert(takeToken(*Rate, cold_use::Begin, Full) == token::Taken);
  end_reserve Former(Rate);
  const instant Refilled = Full + milliseconds(400);
  for (Sent = 0; takeToken(*Rate, cold_use::Single, Refilled) == token::Taken;)
    ++Sent;
  cr_assert(static_cast<double>(Sent + Rate->Reserved) <= Rate->Depth);
  // A former permission's reserve is void: another instance may have sent.
  const instant Again = Start + std::chrono::seconds(10);
  cr_assert(!end_reserve(std::move(Former)).spend(Again));
}

// Guards against statements of open transactions, which hold locks, that wait
// behind new work.
Test(cold_rates, serve_open_transactions_first) {
  cold_rate Rate = coldRate(20);
  permitSending(Rate, Start + milliseconds(900), Start);
  Rate.Waiting = 1;
  const instant Now = Start + milliseconds(60);
  cr_assert(takeToken(Rate, cold_use::Single, Now) == token::None);
  cr_assert(takeToken(Rate, cold_use::InTransaction, Now) == token::Taken);
}

// Guards against work that waits, with a slot, for a token that it cannot get
// while the open transactions hold theirs, or for longer than they can wait.
Test(cold_rates, expect_no_token_that_transactions_leave_no_room_for) {
  cold_rate Rate = coldRate(20);
  permitSending(Rate, Start + std::chrono::seconds(9), Start);
  cr_assert(tokenExpected(Rate, cold_use::Begin, Start));
  Rate.Reserved = static_cast<unsigned>(Rate.Depth) - 2;
  cr_assert(!tokenExpected(Rate, cold_use::Begin, Start));
  cr_assert(tokenExpected(Rate, cold_use::Single, Start));
  Rate.Reserved = static_cast<unsigned>(Rate.Depth);
  cr_assert(!tokenExpected(Rate, cold_use::Single, Start));
  cold_rate Shallow = coldRate(0.5);
  Shallow.Depth = 1;
  permitSending(Shallow, Start + std::chrono::seconds(9), Start);
  cr_assert(!tokenExpected(Shallow, cold_use::Begin, Start));
  cr_assert(longestTokenWait(Shallow) > longestTokenWait(Rate));
}

// Guards against a limit where no bound, or no rate, is configured.
Test(cold_rates, limit_nothing_unless_configured) {
  cold_rate Rate = coldRate(20);
  configure(Rate, std::nullopt, 20);
  cr_assert(takeToken(Rate, cold_use::Single, Start) == token::NotNeeded);
  configure(Rate, Limits, 0);
  cr_assert(takeToken(Rate, cold_use::Single, Start) == token::NotNeeded);
}

namespace {

endpoint_entry coldEntry(std::int64_t RemainingMs, std::int64_t Born = 1) {
  endpoint_entry Entry;
  Entry.Name = "e";
  Entry.Service = "s";
  Entry.Slots = 4;
  Entry.StartedAt = Born;
  Entry.ColdRemaining = milliseconds(RemainingMs);
  return Entry;
}

} // namespace

// Guards against an entry that does not change and keeps its endpoint cold for
// ever, and against a list that changes with each read.
Test(cold_rates, count_down_an_entry_that_stays_the_same) {
  directory Directory;
  updateDirectory(Directory, {coldEntry(8000)}, Start);
  const auto Until = Directory.Endpoints.at("e").ColdUntil;
  cr_assert(Until == Start + milliseconds(8000) + ColdMargin);
  const instant Later = Start + milliseconds(3000);
  updateDirectory(Directory, {coldEntry(8000)}, Later);
  cr_assert(Directory.Endpoints.at("e").ColdUntil == Until);
  for (const std::int64_t RunsOn : {3500, 5000, 5400}) {
    std::vector Read{coldEntry(RunsOn)};
    keepColdTimes(Directory, Read, Later);
    cr_assert(Read.front().ColdRemaining == milliseconds(8000));
  }
  // Cold again, or a restart under the same name: counted anew.
  for (const auto &Again : {coldEntry(7900), coldEntry(5000, 2)}) {
    std::vector Read{Again};
    keepColdTimes(Directory, Read, Later);
    cr_assert(Read.front() == Again);
    updateDirectory(Directory, Read, Later);
    cr_assert(Directory.Endpoints.at("e").ColdUntil ==
              Later + Again.ColdRemaining + ColdMargin);
  }
}
