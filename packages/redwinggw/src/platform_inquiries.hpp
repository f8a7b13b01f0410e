#pragma once

#include "platform_instance_state.hpp"
#include "platform_probing.hpp"

#include "redwinggw/session/promotion_order.hpp"

#include <map>
#include <set>
#include <vector>

/// What an orderer asks the endpoints of a service during the move of its
/// primary. Used from one thread.
namespace redwinggw {

/// Between two steps of a move that wait for others.
constexpr base::milliseconds StepPause{20};

/// A move that this instance carries out.
struct claimed_move {
  session::primary_claim Claim;
  /// An earlier claim began the move.
  bool Resumed = false;
  /// The old primary has just been asked and did not answer.
  bool PrimarySilent = false;
};

/// What an orderer has learned in the rounds of inquiries of one move.
struct inquiry_rounds {
  std::optional<session::endpoint_status> Old;
  /// Until when replicas may receive what the old primary has.
  base::instant CatchUpUntil;
  base::instant LogDue;
  /// The decision that was last logged.
  session::order_step LoggedStep = session::order_step::Wait;
  base::endpoint_name LoggedEndpoint;
  /// Since when no endpoint of the agreed term is to be expected.
  std::optional<base::instant> TermLostSince;
  /// When the platform has refused to promote an endpoint: it was not running.
  std::map<base::endpoint_name, base::instant> RefusedAt;
};

/// Whether \p Claim is still the newest one of its service. Otherwise another
/// orderer has taken over, and an order of this instance could take effect
/// after that one's.
bool isCurrent(const platform_instance_state &State,
               const session::primary_claim &Claim);

/// The endpoints of \p Service in zones that are not evacuated, without
/// \p Primary.
std::vector<session::endpoint_entry>
replacementsFor(const platform_instance_state &State,
                const base::service_name &Service,
                const base::endpoint_name &Primary);

/// Sends \p Request to an endpoint, without tokens. While it is cold it waits
/// until it may, or until a later claim is known: a candidate that is left out
/// could be the one that has received most.
base::task<session::status_exchange> inquire(platform_instance_state &State,
                                             session::primary_claim Claim,
                                             session::endpoint_entry Entry,
                                             status_request Request = {});

/// Asks an endpoint for its status. One that leads an older term than the
/// agreed one is told to follow: by itself it does so only a while after it has
/// reached the newer primary, and until then it runs writes.
base::task<session::status_exchange>
inquireAndDemote(platform_instance_state &State, session::primary_claim Claim,
                 session::endpoint_entry Entry);

/// What a record's unlisted holders answer at their addresses, under whichever
/// name.
struct unlisted_answers {
  std::map<base::endpoint_name, session::endpoint_status> Statuses;
  /// These answer, perhaps that they are busy.
  std::set<base::endpoint_name> Alive;
  std::set<base::endpoint_name> Silent;
};

/// Asks the holders of \p Record that are not listed, all at the same time.
/// Those in evacuated zones are not asked, and neither alive nor silent.
base::task<unlisted_answers>
askUnlisted(platform_instance_state &State, session::primary_claim Claim,
            session::holder_record Record,
            std::vector<base::endpoint_name> Unlisted);

/// Counts an inquiry at each endpoint of \p Service that ends now: a former
/// orderer may have inquired a moment ago.
void delayInquiries(platform_instance_state &State,
                    const base::service_name &Service);

/// The old primary's status, if it still answers. No instance uses it any more,
/// so it commits nothing more that is acknowledged.
base::task<std::optional<session::endpoint_status>>
askOldPrimary(platform_instance_state &State,
              const session::primary_claim &Claim);

/// Begins the inquiries of a move.
base::task<inquiry_rounds> beginInquiries(platform_instance_state &State,
                                          const claimed_move &Move);

/// Asks all endpoints once, and decides what to do next by their answers. Waits
/// for a replica to receive all that the old primary still reports, and without
/// a limit for one that may be promoted.
base::task<session::order_decision> decideRound(platform_instance_state &State,
                                                const claimed_move &Move,
                                                inquiry_rounds &Rounds);

/// Whether a replica that could be promoted has received what the primary of
/// \p Claim reports now. Waits a moment for one; true if the primary does not
/// answer. Precondition: commits of the service are replicated synchronously.
base::task<bool> isReplaceable(platform_instance_state &State,
                               session::primary_claim Claim);

} // namespace redwinggw
