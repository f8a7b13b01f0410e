#include "redwinggw/data/statement_core.hpp"

#include "redwinggw/base/log.hpp"

namespace redwinggw::data {
namespace {

/// Customer name under which the instance's own statements queue. The sheet
/// does not allow empty names, so no customer shares it.
const base::customer_name InternalCustomer;
constexpr base::milliseconds CleanupTimeout{5000};

base::task<void> deleteExpiredOf(statement_core &Core, base::group_name Group) {
  const group_view *View = Core.Ports.View(Group);
  const std::shared_ptr<dispatcher> Target =
      View == nullptr ? nullptr : primaryOf(Core, *View);
  if (!Target)
    co_return;
  call Call;
  Call.Customer = InternalCustomer;
  Call.Group = Group;
  Call.KeyCheckedAt = Core.ConfigurationChanges;
  Call.Deadline = base::now() + CleanupTimeout;
  run_request Request;
  Request.ExpectTerm = View->Term;
  Request.Statements = {deleteExpired(base::wallMilliseconds())};
  const run_result Ran = co_await runAt(Core, Target, Call, std::move(Request));
  if (!Ran.Answer && !isMissingTable(Ran.Failed.Failure))
    base::log(base::log_level::Warning, base::log_part::Endpoints,
              "Expired request records of group " + Group +
                  " were not deleted: " + base::describe(Ran.Failed.Failure));
}

} // namespace

base::task<void> deleteExpiredRecords(statement_core &Core) {
  const auto Groups = control::groupsOf(Core.Ports.Configuration());
  for (const base::group_name &Group : Groups)
    co_await deleteExpiredOf(Core, Group);
}

} // namespace redwinggw::data
