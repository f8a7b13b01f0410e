#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// A model of moves of primaries: instances that claim, two of them that order
/// promotions, databases, the platform and its store. What an orderer does next
/// is decided by the project's functions. Time is modelled by what has to have
/// happened before a wait is over: a wait for the settle time ends when every
/// order that was sent before its beginning has arrived or never will.
namespace redwinggw::promotion_model {

using number = std::uint8_t;

constexpr std::size_t InstanceCount = 3;
/// The first ones order; the others acknowledge and write.
constexpr std::size_t OrdererCount = 2;
constexpr std::size_t DatabaseCount = 3;
constexpr std::size_t MaxServices = 2;
constexpr std::size_t MaxOrders = 3;
constexpr number NoDatabase = DatabaseCount;

enum class condition : number {
  Running,
  /// It runs, and answers no instance.
  Dark,
  Down,
};

struct database {
  number Term = 1;
  bool Leads = false;
  condition Condition = condition::Running;
};

struct claim {
  number Epoch = 0;
  bool Moving = false;
  number Primary = 0;
  number Orderer = 0;
  number Term = 0;
};

struct service {
  std::array<database, DatabaseCount> Databases;
  number Leader = 0;
  number LeaderTerm = 1;
  /// The row: a claim, and the recorded target of the move.
  claim Row;
  number RowTarget = NoDatabase;
  number MovesLeft = 0;
};

enum class contact : number { Up, Cut, Crashed };

struct instance {
  contact Contact = contact::Up;
  /// It may use primaries and send orders.
  bool Lease = true;
  std::array<claim, MaxServices> Known;
};

enum class task_step : number {
  Idle,
  Claimed,
  Deciding,
  Recorded,
  InFlight,
  Accepted,
  Finishing,
};

/// The move of one service by one orderer.
struct task {
  task_step Step = task_step::Idle;
  number Epoch = 0;
  number Target = NoDatabase;
  number Ordered = NoDatabase;
  number StartNewest = 0;
  bool StartLed = false;
  /// An earlier claim began the move.
  bool Resumed = false;
  /// Its orderer has lost the orderer's row since, and got it again.
  bool Former = false;
  /// The orders (bits) that have to settle before another target is ordered.
  number Unsettled = 0;
};

enum class turn : number { Taken, NotBegun, Waiting };

struct orderer {
  std::array<task, MaxServices> Tasks;
  number Token = 0;
  /// The version of the orderer's row after its last commit.
  number RowVersion = 0;
  /// The version of the claim by which it became the orderer.
  number HeldSince = 0;
  turn Turn = turn::NotBegun;
  number TurnWaitsFor = 0;
};

enum class order_kind : number {
  Free,
  /// Its sender waits for the answer.
  Awaited,
  /// Accepted, and will take effect.
  Pending,
  /// Its sender has given it up; it may arrive.
  Orphan,
};

struct order {
  order_kind Kind = order_kind::Free;
  number Service = 0;
  number Target = 0;
  number Sender = 0;
  number Token = 0;
  /// It arrives after the settle time.
  bool Late = false;
};

enum class fault : number {
  None,
  /// An agreed primary is in use after another was promoted.
  TwoPrimaries,
  /// The platform has seen a higher token, or this one of another orderer.
  OldToken,
  /// An orderer orders while an order of a former one may arrive.
  NoTurn,
  /// The promotion of a log of an older term than the agreed one is ordered.
  StaleTarget,
};

struct state {
  std::array<service, MaxServices> Services;
  std::array<instance, InstanceCount> Instances;
  std::array<orderer, OrdererCount> Orderers;
  std::array<order, MaxOrders> Orders;
  number StoreVersion = 0;
  number RowOrderer = InstanceCount;
  number RowToken = 0;
  number RowVersion = 0;
  number SeenToken = 0;
  number SeenOrderer = InstanceCount;
  bool LateUsed = false;
  number DelaysLeft = 0;
  number LatesLeft = 0;
  number InstanceFaultsLeft = 0;
  number DatabaseFaultsLeft = 0;
  number TakeoversLeft = 0;
  number AbandonsLeft = 0;
  number DoubtsLeft = 0;
  fault Broken = fault::None;
};

/// What is left out when a member is false.
struct guards {
  /// The target is in the row before its promotion is ordered.
  bool RecordsTarget = true;
  /// A resumed move has the recorded target.
  bool ResumesTarget = true;
  /// The commit of the record fails if the orderer's row has changed.
  bool RecordChecksOrderer = true;
  /// An instance with an own order in flight acknowledges no claim.
  bool InFlightWithholds = true;
  /// Of no service, not only of that order's.
  bool WithholdsAllServices = true;
  /// An order counts as in flight from the commit of its record.
  bool InFlightFromRecord = true;
  /// Acknowledgements are by service, not by the newest epoch of all.
  bool AcknowledgesByService = true;
  /// A target is replaced when orders for it have settled.
  bool Settles = true;
  /// A new move treats orders of the move before as its own.
  bool SettlesEarlierMoves = true;
  /// An accepted order has settled only when it has taken effect.
  bool SettlesAccepted = true;
  /// A role is a promotion only with a later term.
  bool ChecksTerm = true;
  /// A new orderer orders when the former one's orders have settled.
  bool TakesTurns = true;
  /// The turn is counted from acknowledgements of a claim as the orderer.
  bool TurnsByOrderer = true;
  /// A claim from an earlier time as the orderer orders nothing more.
  bool TasksEndWithTenure = true;
  /// An instance that the orderer's row names is the orderer only if it knows
  /// of the commit that wrote it.
  bool KnowsOwnTenure = true;
};

struct setting {
  guards Guards;
  /// The only rule to be checked; all for None.
  fault Rule = fault::None;
  number Services = 1;
  number Moves = 1;
  number Delays = 2;
  number Lates = 0;
  number InstanceFaults = 1;
  number DatabaseFaults = 1;
  number Takeovers = 1;
  number Abandons = 1;
  /// Commits that take effect though the store's answer is lost.
  number Doubts = 0;
  /// Whether a crashed instance may start again, without its memory.
  bool Restarts = false;
  /// Instance 1 leaves a move to instance 0 once it has lost the orderer's row.
  bool LeavesLostMoves = false;
  number SynchronousReplicas = 0;
  number AgreedTerm = 1;
};

struct transition {
  std::string_view Name;
  /// What it is about, for traces.
  number First = 0;
  number Second = 0;
  /// A fair schedule need not contain it.
  bool Fault = false;
  state Next;
};

state initialState(const setting &Setting);

/// All that can happen next.
std::vector<transition> transitionsOf(const setting &Setting,
                                      const state &State);

/// All instances agree on primaries that lead.
bool isSettled(const setting &Setting, const state &State);

std::string_view faultName(fault Fault);

/// Text for traces.
std::string describe(const setting &Setting, const state &State);

} // namespace redwinggw::promotion_model
