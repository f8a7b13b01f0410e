#include "redwinggw/data/caller_server.hpp"

#include "redwinggw/base/log.hpp"
#include "redwinggw/data/request_trace.hpp"

#include <algorithm>
#include <array>

namespace redwinggw::data {
namespace {

using base::errc;
using base::failure;
using base::result;

constexpr base::milliseconds DrainRetryAfter{100};
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusUnavailable = 503;

using path_function = base::task<result<caller_answer>> (*)(statement_core &,
                                                            transaction_table &,
                                                            call);

base::task<result<caller_answer>>
serveStatement(statement_core &Core, transaction_table &, call Call) {
  if (Call.Request.Access == access_kind::Write)
    return serveWrite(Core, std::move(Call));
  return serveRead(Core, std::move(Call));
}

base::task<result<caller_answer>>
serveOutcomeQuery(statement_core &Core, transaction_table &, call Call) {
  return serveOutcome(Core, std::move(Call));
}

/// How a request is charged to the customer's rate limit.
enum class rate_charge {
  NotCharged,
  /// May wait for a token until the request's deadline.
  ChargedWithWait,
  /// Belongs to an open transaction that may hold locks others wait for:
  /// without a token within a short time the transaction is rolled back.
  ChargedBriefly,
};

/// Time to receive a token that the rate allows from the instance that
/// allocates them.
constexpr base::milliseconds BriefAdmissionWait{50};

/// A path, the fields it requires and its handler.
struct path_handler {
  std::string_view Target;
  caller_fields Needed;
  path_function Serve = nullptr;
  /// Still served while the instance drains.
  bool WhileDraining = false;
  rate_charge Charge = rate_charge::NotCharged;
};

constexpr std::array Paths = std::to_array<path_handler>({
    {.Target = "/v1/statement",
     .Needed = {.Service = true, .Sql = true},
     .Serve = serveStatement,
     .Charge = rate_charge::ChargedWithWait},
    {.Target = "/v1/begin",
     .Needed = {.Service = true},
     .Serve = beginTransaction,
     .Charge = rate_charge::ChargedWithWait},
    {.Target = "/v1/run",
     .Needed = {.Sql = true, .Transaction = true},
     .Serve = runInTransaction,
     .WhileDraining = true,
     .Charge = rate_charge::ChargedBriefly},
    {.Target = "/v1/commit",
     .Needed = {.Transaction = true},
     .Serve = commitTransaction,
     .WhileDraining = true},
    {.Target = "/v1/rollback",
     .Needed = {.Transaction = true},
     .Serve = rollBackTransaction,
     .WhileDraining = true},
    {.Target = "/v1/outcome",
     .Needed = {.Service = true, .RequestId = true},
     .Serve = serveOutcomeQuery},
});

/// Finds the customer of the key. Done for each request, so that a withdrawal
/// also affects open connections.
result<call> authenticate(const statement_core &Core,
                          std::string_view Authorization) {
  if (!Core.Ports.MayServe())
    return failure(errc::StaleConfiguration, {}, DrainRetryAfter);
  const control::configuration &Configuration = Core.Ports.Configuration();
  const control::customer_key *Key = control::findKey(
      Configuration, Core.Settings.FleetKey, bearerKey(Authorization));
  if (Key == nullptr)
    return failure(errc::UnknownKey);
  call Call;
  Call.Customer = Key->Customer;
  Call.KeyId = Key->Id;
  Call.KeyDigest = Key->Digest;
  Call.KeyCheckedAt = Core.ConfigurationChanges;
  return Call;
}

void readSession(const statement_core &Core, call &Call) {
  const caller_request &Request = Call.Request;
  if (!Request.HasSession) {
    Call.SessionKind = session_kind::Missing;
    return;
  }
  if (Request.Session == "none") {
    Call.SessionKind = session_kind::None;
    return;
  }
  const auto Session =
      decodeToken(Core.Settings.FleetKey, Call.Customer, Request.Session);
  Call.SessionKind = Session ? session_kind::Verified : session_kind::Invalid;
  Call.Session = Session.value_or(session_state{});
}

/// Sets the group and maximum age from the configured service and read.
result<void> resolveService(const statement_core &Core, call &Call) {
  const control::configuration &Configuration = Core.Ports.Configuration();
  const caller_request &Request = Call.Request;
  const control::service *Service =
      control::findService(Configuration, Request.Service);
  if (Service == nullptr)
    return failure(errc::NotFound, "service " + Request.Service);
  Call.Group = Service->Group;
  Call.MaxAge = Service->SessionMaxAge;
  if (Request.Read.empty())
    return {};
  const control::declared_read *Read =
      control::findRead(Configuration, Request.Service, Request.Read);
  if (Read == nullptr)
    return failure(errc::NotFound, "read " + Request.Read);
  Call.MaxAge = Read->MaxAge;
  return {};
}

result<call> prepare(const statement_core &Core, const path_handler &Path,
                     const http::request &Message) {
  auto Call = authenticate(Core, Message.Authorization);
  if (!Call)
    return Call;
  auto Request = parseCallerRequest(Message.Body, Path.Needed);
  if (!Request)
    return Request.error();
  Call->Request = std::move(*Request);
  Call->Deadline = base::now() + Call->Request.Deadline;
  readSession(Core, *Call);
  if (Path.Needed.Service)
    if (const auto Resolved = resolveService(Core, *Call); !Resolved)
      return Resolved.error();
  return Call;
}

base::task<result<void>> admit(statement_core &Core, rate_charge Charge,
                               const call &Call) {
  if (Charge == rate_charge::NotCharged)
    co_return result<void>();
  base::instant Deadline = Call.Deadline;
  if (Charge == rate_charge::ChargedBriefly)
    Deadline = std::min(Deadline, base::now() + BriefAdmissionWait);
  const auto Admitted = co_await Core.Ports.Admit(Call.Customer, Deadline);
  if (Admitted)
    noteRequest(Core.Budget);
  co_return Admitted;
}

base::task<result<caller_answer>>
serve(statement_core &Core, transaction_table &Table, const path_handler &Path,
      http::request Message, request_trace &Trace) {
  if (Core.Draining && !Path.WhileDraining)
    co_return failure(errc::Draining, Core.Settings.Instance, DrainRetryAfter);
  auto Call = prepare(Core, Path, Message);
  if (!Call)
    co_return Call.error();
  Trace.Customer = Call->Customer;
  Trace.Access = Call->Request.Access;
  Trace.RequestId = Call->Request.RequestId;
  noteReceived(Core, Trace);
  const auto Admitted = co_await admit(Core, Path.Charge, *Call);
  if (!Admitted) {
    if (Path.Charge == rate_charge::ChargedBriefly)
      abandonTransaction(Core, Table, *Call);
    co_return Admitted.error();
  }
  co_return co_await Path.Serve(Core, Table, std::move(*Call));
}

http::response health(const statement_core &Core) {
  http::response Response;
  const bool Serves = !Core.Draining && Core.Ports.MayServe();
  Response.Status = Serves ? StatusOk : StatusUnavailable;
  Response.Body = Serves ? R"({"serving":true})" : R"({"serving":false})";
  return Response;
}

} // namespace

base::task<http::response> serveCaller(statement_core &Core,
                                       transaction_table &Table,
                                       http::request Request) {
  if (Request.Target == "/healthz")
    co_return health(Core);
  const auto *Path = std::ranges::find(Paths, std::string_view(Request.Target),
                                       &path_handler::Target);
  if (Path == Paths.end())
    co_return toResponse(failure(errc::NotFound, "path"));
  result<caller_answer> Answer = failure(errc::Internal);
  request_trace Trace;
  Trace.ReceivedAt = base::now();
  try {
    Answer = co_await serve(Core, Table, *Path, std::move(Request), Trace);
  } catch (const std::exception &Error) {
    base::log(base::log_level::Error, base::log_part::Callers, Error.what());
  }
  noteAnswered(Core, Trace, Answer);
  if (!Answer)
    co_return toResponse(Answer.error());
  co_return toResponse(std::move(*Answer));
}

caller_server::caller_server(boost::asio::any_io_executor Executor,
                             statement_core &Core, transaction_table &Table)
    : Core(Core), Table(Table),
      Server(std::move(Executor), {},
             [&Core, &Table](http::connection &, http::request Request) {
               return serveCaller(Core, Table, std::move(Request));
             }) {}

} // namespace redwinggw::data
