#include "setting_keys.hpp"

#include "redwinggw/base/enum_table.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace redwinggw {

bool setName(std::string &Field, const std::string &Text) {
  constexpr std::size_t MaxLength = 64;
  const bool Plain = std::ranges::all_of(Text, [](unsigned char Character) {
    return std::isalnum(Character) != 0 || Character == '-' ||
           Character == '_' || Character == '.';
  });
  if (Text.empty() || Text.size() > MaxLength || !Plain)
    return false;
  Field = Text;
  return true;
}

bool setOptionalName(std::string &Field, const std::string &Text) {
  Field.clear();
  return Text.empty() || setName(Field, Text);
}

namespace {

using base::enum_name;

constexpr std::array RateNames = std::to_array<enum_name<rate_policy>>({
    {rate_policy::Shared, "shared"},
    {rate_policy::Static, "static"},
});

constexpr std::array ReadNames = std::to_array<enum_name<data::read_policy>>({
    {data::read_policy::Replicas, "replicas"},
    {data::read_policy::Primary, "primary"},
});

constexpr std::array QueueNames = std::to_array<enum_name<data::queue_policy>>({
    {data::queue_policy::Fair, "fair"},
    {data::queue_policy::Fifo, "fifo"},
});

constexpr std::array ConnectionNames =
    std::to_array<enum_name<session::connection_policy>>({
        {session::connection_policy::Recent, "recent"},
        {session::connection_policy::Demand, "demand"},
    });

constexpr std::array OwnerNames = std::to_array<enum_name<owner_policy>>({
    {owner_policy::Hash, "hash"},
    {owner_policy::Capacity, "capacity"},
});

constexpr std::array KindNames = std::to_array<enum_name<platform_kind>>({
    {platform_kind::Own, "own"},
    {platform_kind::Native, "native"},
});

bool setAddress(http::address &Field, const std::string &Text) {
  const auto Address = http::parseAddress(Text);
  if (!Address)
    return false;
  Field = *Address;
  return true;
}

bool setMilliseconds(base::milliseconds &Field, const std::string &Text,
                     std::int64_t Min, std::int64_t Max) {
  std::int64_t Value = 0;
  const char *Last = Text.data() + Text.size();
  const auto [End, Code] = std::from_chars(Text.data(), Last, Value);
  if (Code != std::errc() || End != Last || Value < Min || Value > Max)
    return false;
  Field = base::milliseconds(Value);
  return true;
}

bool setNumber(double &Field, const std::string &Text, double Min, double Max) {
  double Value = 0;
  const char *Last = Text.data() + Text.size();
  const auto [End, Code] = std::from_chars(Text.data(), Last, Value);
  // Written so that NaN is refused too.
  if (Code != std::errc() || End != Last || !(Value >= Min && Value <= Max))
    return false;
  Field = Value;
  return true;
}

bool setSeconds(base::milliseconds &Field, const std::string &Text, double Min,
                double Max) {
  double Value = 0;
  if (!setNumber(Value, Text, Min, Max))
    return false;
  Field = std::chrono::round<base::milliseconds>(
      std::chrono::duration<double>(Value));
  return true;
}

/// Empty: not set.
bool setBound(std::optional<double> &Field, const std::string &Text) {
  constexpr double Max = 1e6;
  Field.reset();
  if (Text.empty())
    return true;
  double Value = 0;
  if (!setNumber(Value, Text, 0, Max))
    return false;
  Field = Value;
  return true;
}

bool setText(std::string &Field, const std::string &Text) {
  Field = Text;
  return !Text.empty();
}

template <typename Enum> bool setEnum(Enum &Field, std::optional<Enum> Value) {
  Field = Value.value_or(Field);
  return Value.has_value();
}

constexpr const char *AddressAllowed = "IP:port";
constexpr const char *BoundAllowed = "a number from 0 to 1000000, or empty";
constexpr const char *CapacityAllowed = "a number from 0 to 1000000";

constexpr std::array Keys = std::to_array<key_row>({
    {"instance.name", "", NameAllowed, "name in the platform's list",
     [](settings &S, const std::string &T) { return setName(S.Name, T); }},
    {"instance.zone", "", NameAllowed, "availability zone",
     [](settings &S, const std::string &T) { return setName(S.Zone, T); }},
    {"instance.region", "none", OptionalNameAllowed,
     "region of the availability zone, see [zones]",
     [](settings &S, const std::string &T) {
       return setOptionalName(S.Region, T);
     }},
    {"instance.capacity", "0", CapacityAllowed,
     "how much work it can take compared with other instances",
     [](settings &S, const std::string &T) {
       return setNumber(S.Capacity, T, 0, 1e6);
     }},
    {"instance.link_mbps", "0", BoundAllowed,
     "its link in Mbit/s, a quarter of which limits lists sent to other "
     "instances (0: no limit)",
     [](settings &S, const std::string &T) {
       return T.empty() || setNumber(S.LinkMbps, T, 0, 1e6);
     }},
    {"endpoints.cold_overshoot", "none", BoundAllowed,
     "cold endpoints get at most their rate times this, plus cold_slack",
     [](settings &S, const std::string &T) {
       return setBound(S.ColdOvershoot, T);
     }},
    {"endpoints.cold_slack", "none", BoundAllowed,
     "requests in any second beyond that; none: cold endpoints are not limited",
     [](settings &S, const std::string &T) {
       return setBound(S.ColdSlack, T);
     }},
    {"listen.callers", "", AddressAllowed, "where callers connect (TCP)",
     [](settings &S, const std::string &T) {
       return setAddress(S.Callers, T);
     }},
    {"listen.operators", "", AddressAllowed, "where operators connect (TCP)",
     [](settings &S, const std::string &T) {
       return setAddress(S.Operators, T);
     },
     needed::Own},
    {"listen.readiness", "", AddressAllowed,
     "where the load balancer checks readiness (TCP)",
     [](settings &S, const std::string &T) {
       return setAddress(S.Readiness, T);
     },
     needed::Native},
    {"listen.metrics", "", AddressAllowed, "where metrics are read (TCP)",
     [](settings &S, const std::string &T) { return setAddress(S.Metrics, T); },
     needed::Native},
    {"platform.kind", "own", "own, native",
     "which protocols callers, endpoints and the platform speak",
     [](settings &S, const std::string &T) {
       return setEnum(S.Kind, base::valueOf(KindNames, T));
     }},
    {"platform.promotions", "", AddressAllowed,
     "where promotions of endpoints are ordered",
     [](settings &S, const std::string &T) {
       return setAddress(S.Promotions, T);
     },
     needed::Native},
    {"listen.peers", "", AddressAllowed, "where other instances send (UDP)",
     [](settings &S, const std::string &T) { return setAddress(S.Peers, T); }},
    {"platform.address", "", AddressAllowed, "the platform's services",
     [](settings &S, const std::string &T) {
       return setAddress(S.Platform, T);
     }},
    {"platform.timeout_ms", "1000", "10 to 60000",
     "deadline of one request to the platform",
     [](settings &S, const std::string &T) {
       return setMilliseconds(S.PlatformTimeout, T, 10, 60000);
     }},
    {"fleet.key_file", "", "a file name",
     "secret that all instances share: signs tokens and messages",
     [](settings &S, const std::string &T) { return setText(S.KeyFile, T); },
     needed::Own},
    {"fleet.operator_key_file", "", "a file name",
     "secret by which operators authenticate",
     [](settings &S, const std::string &T) {
       return setText(S.OperatorKeyFile, T);
     },
     needed::Own},
    {"log.level", "info", "trace, debug, info, warning, error",
     "lowest level that is logged",
     [](settings &S,
        const std::string
            &T) { return setEnum(S.LogLevel, base::logLevelNamed(T)); }},
    {"log.format", "text", "text, json", "format of a log line",
     [](settings &S, const std::string &T) {
       return setEnum(S.LogFormat, base::logFormatNamed(T));
     }},
    {"policy.reads", "replicas", "replicas, primary",
     "where reads may go; primary is the baseline",
     [](settings &S, const std::string &T) {
       return setEnum(S.Reads, base::valueOf(ReadNames, T));
     }},
    {"policy.rate", "shared", "shared, static",
     "how a customer's rate is divided; static is the baseline",
     [](settings &S, const std::string &T) {
       return setEnum(S.Rate, base::valueOf(RateNames, T));
     }},
    {"policy.queue", "fair", "fair, fifo",
     "order of waiting requests; fifo is the baseline",
     [](settings &S, const std::string &T) {
       return setEnum(S.Queue, base::valueOf(QueueNames, T));
     }},
    {"policy.connections", "recent", "recent, demand",
     "which idle connection to an endpoint is closed for a new one",
     [](settings &S, const std::string &T) {
       return setEnum(S.Connections, base::valueOf(ConnectionNames, T));
     }},
    {"policy.owners", "hash", "hash, capacity",
     "how endpoints are divided among the instances that own their connections",
     [](settings &S, const std::string &T) {
       return setEnum(S.Owners, base::valueOf(OwnerNames, T));
     }},
    {"policy.try_timeout_ms", "1000", "50 to 60000",
     "timeout of a single try at an endpoint",
     [](settings &S, const std::string &T) {
       return setMilliseconds(S.TryTimeout, T, 50, 60000);
     }},
    {"policy.replica_wait_ms", "80", "0 to 1000",
     "longest wait for a replica to reach a session's position",
     [](settings &S, const std::string &T) {
       return setMilliseconds(S.ReplicaWait, T, 0, 1000);
     }},
    {"policy.drain_ms", "10000", "0 to 600000",
     "time that running requests get at a graceful stop",
     [](settings &S, const std::string &T) {
       return setMilliseconds(S.DrainTime, T, 0, 600000);
     }},
    {"policy.bucket_reserve", "0", "a number from 0 to 0.5",
     "part of the tolerated excess that is granted while a bucket owner does "
     "not answer; the same at all instances",
     [](settings &S, const std::string &T) {
       return setNumber(S.BucketReserve, T, 0, 0.5);
     }},
    {"rates.window_s", "5", "empty, or a number of seconds from 0.1 to 3600",
     "a customer's operations are bounded in any window of this length",
     [](settings &S, const std::string &T) {
       return T.empty() || setSeconds(S.RateBound.Window, T, 0.1, 3600);
     }},
    {"rates.overshoot", "0.1", "empty, or a number from 0 to 10",
     "part of rate x window + burst that is tolerated in addition to it",
     [](settings &S, const std::string &T) {
       return T.empty() || setNumber(S.RateBound.Overshoot, T, 0, 10);
     }},
    {"rates.extra_tokens", "20", "empty, or a number from 0 to 1000000",
     "operations that are tolerated in a window in addition to that",
     [](settings &S, const std::string &T) {
       return T.empty() || setNumber(S.RateBound.ExtraTokens, T, 0, 1e6);
     }},
});

} // namespace

std::span<const key_row> settingKeys() { return Keys; }

} // namespace redwinggw
