#pragma once

#include "network.hpp"

#include "redwinggw/base/enum_table.hpp"

#include "redwinggw/data/confirm.hpp"
#include "redwinggw/data/detector.hpp"
#include "redwinggw/data/failover.hpp"

#include <array>
#include <map>
#include <set>
#include <string>
#include <vector>

/// Simulation of one group of three endpoints, the row in the table service and
/// the instances, which run the real decision code. Endpoints follow the five
/// rules of docs/ENDPOINTS.md.
namespace redwinggw::matrix {

using write_id = std::uint64_t;

struct log_entry {
  base::term_number Term = 0;
  write_id Write = 0;

  friend bool operator==(const log_entry &, const log_entry &) = default;
};

struct endpoint_model {
  data::endpoint_state State;
  std::vector<log_entry> Log;
  std::vector<node> Members;
};

struct table_model {
  std::uint64_t Version = 0;
  std::string Value;
  bool Down = false;
  base::milliseconds Slow{0};
  /// Number of answers still to be lost.
  int LoseAnswers = 0;
};

/// Steps at which a fault can be injected.
enum class step {
  WriteSent,
  WriteKept,
  BeforeAnswer,
  ReadSent,
  Suspected,
  Claiming,
  Resolving,
  Sealing,
  Promoting,
  Recording,
  Finished,
};

constexpr std::array StepNames = std::to_array<base::enum_name<step>>({
    {step::WriteSent, "write sent"},
    {step::WriteKept, "write kept"},
    {step::BeforeAnswer, "before answer"},
    {step::ReadSent, "read sent"},
    {step::Suspected, "suspected"},
    {step::Claiming, "claiming"},
    {step::Resolving, "resolving"},
    {step::Sealing, "sealing"},
    {step::Promoting, "promoting"},
    {step::Recording, "recording"},
    {step::Finished, "finished"},
});

/// What callers observed; checked at the end.
struct history {
  struct acknowledged {
    base::log_position Position = 0;
    write_id Write = 0;
    base::instant At;
  };
  std::vector<acknowledged> Writes;
  std::map<base::term_number, node> Primaries;
  std::map<base::term_number, std::string> Orders;
  std::set<std::string> Broken;
};

struct instance_model {
  node Name;
  data::group_view View;
  data::confirm_state Confirm;
  data::detector_state Detector;
  data::row_watch Watch;
  std::optional<data::failover> Order;
  data::failover_step LastStep = data::failover_step::Idle;
  bool Preparing = false;
  std::map<std::uint64_t, std::function<void(bool)>> ConfirmationWaits;
  std::map<node, std::pair<base::instant, std::vector<data::suspicion>>>
      Reports;
  /// Writes whose outcome is unknown; they are retried.
  std::vector<write_id> Unknown;
};

struct world {
  explicit world(std::uint64_t Seed);
  world(const world &) = delete;
  world &operator=(const world &) = delete;

  network Net;
  data::failover_parameters Failover;
  data::confirm_parameters Confirm;
  std::map<node, endpoint_model> Endpoints;
  std::map<node, instance_model> Instances;
  table_model Table;
  history History;
  /// Called when \p Node reaches a step.
  std::function<void(step, const node &)> OnStep;
  bool LoadOn = true;
  /// Interval at which a primary sends its log to each member.
  std::map<node, base::milliseconds> ShipInterval;
  write_id LastWrite = 0;
};

/// The name of the table service's node.
inline const node TableNode = "table";

/// Starts log shipping, polls, supervision and load.
void startWorld(world &World);

/// \name Requests as an endpoint serves them
/// @{
struct run_reply {
  bool Ran = false;
  base::log_position Position = 0;
  std::shared_ptr<const std::vector<log_entry>> Log;
  data::endpoint_state State;
};
run_reply serveWrite(endpoint_model &Endpoint, base::term_number Expected,
                     write_id Write);
run_reply serveRead(endpoint_model &Endpoint, base::term_number Expected);
/// Seal, promote and follow return false when they are refused.
bool serveSeal(endpoint_model &Endpoint, base::term_number Term,
               const std::string &Order);
bool servePromote(world &World, endpoint_model &Endpoint,
                  const data::promote_member &Request);
bool serveFollow(endpoint_model &Endpoint, base::term_number Term,
                 const std::string &Order);
/// Sends the log of \p Name to \p Member periodically while \p Name is the
/// primary.
void shipLog(world &World, const node &Name, const node &Member);
/// @}

/// Starts the instance's polls, reports and supervision.
void startInstance(world &World, instance_model &Instance);
/// Starts its callers, which write and read continuously.
void startCallers(world &World, instance_model &Instance);
/// Wakes the finished waiters and sends the queries in \p Actions.
void perform(world &World, instance_model &Instance,
             data::confirm_actions Actions);
void applyState(world &World, instance_model &Instance,
                const data::endpoint_state &Reported,
                std::optional<data::confirm_query_kind> QueryKind,
                base::instant AskedAt);

/// Checks the final state and what callers observed.
void checkHistory(world &World);

} // namespace redwinggw::matrix
