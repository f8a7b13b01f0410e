#include "settings.hpp"

#include <algorithm>

#include "criterion_test.hpp"

using namespace redwinggw;

namespace {

const std::string Valid = "[instance]\n"
                          "name = i1\n"
                          "zone = a\n"
                          "[listen]\n"
                          "callers = 127.0.0.1:7001\n"
                          "operators = 127.0.0.1:7002\n"
                          "peers = 127.0.0.1:7003\n"
                          "[platform]\n"
                          "address = 127.0.0.1:7000\n"
                          "[fleet]\n"
                          "key_file = key\n"
                          "operator_key_file = operator-key\n";

/// The faults that parseSettings reports for \p Text; empty when it is valid.
std::string faultsOf(const std::string &Text) {
  const auto Settings = parseSettings(Text, "i1.ini", {});
  return Settings ? "" : Settings.error().Detail;
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

/// A line added to the valid settings, and a text that its fault must contain.
struct broken_line {
  std::string Line;
  std::string Named;
};

} // namespace

Test(settings, a_complete_file_is_accepted_with_defaults) {
  const auto Settings = parseSettings(Valid, "i1.ini", {});
  cr_assert(Settings.has_value());
  cr_assert(Settings->Name == "i1");
  cr_assert(Settings->Peers.Port == 7003);
  cr_assert(Settings->Reads == data::read_policy::Replicas);
  cr_assert(Settings->Connections == session::connection_policy::Recent);
}

Test(settings, a_capacity_is_a_number_that_is_not_negative) {
  const auto Read = [](const std::string &Text) {
    return parseSettings(Valid, "i1.ini", {{"instance.capacity", Text}});
  };
  cr_assert(parseSettings(Valid, "i1.ini", {})->Capacity == 0);
  cr_assert(Read("0.12")->Capacity == 0.12);
  for (const char *Wrong : {"-1", "nan", "1e9", "much", "1 core", ""})
    cr_assert(!Read(Wrong), "%s", Wrong);
}

// Guards against an instance that does not start because the platform leaves
// the link of its template empty.
Test(settings, a_link_is_a_number_that_is_not_negative) {
  const auto Read = [](const std::string &Text) {
    return parseSettings(Valid, "i1.ini", {{"instance.link_mbps", Text}});
  };
  cr_assert(parseSettings(Valid, "i1.ini", {})->LinkMbps == 0);
  cr_assert(Read("10")->LinkMbps == 10);
  const auto Empty = Read("");
  cr_assert(Empty && Empty->LinkMbps == 0);
  for (const char *Wrong : {"-1", "nan", "10 Mbit/s", "none"})
    cr_assert(!Read(Wrong), "%s", Wrong);
}

Test(settings, owners_are_chosen_by_hash_unless_told_otherwise) {
  cr_assert(parseSettings(Valid, "i1.ini", {})->Owners == owner_policy::Hash);
  cr_assert(
      parseSettings(Valid, "i1.ini", {{"policy.owners", "capacity"}})->Owners ==
      owner_policy::Capacity);
  cr_assert(contains(faultsOf(Valid + "[policy]\nowners = random\n"),
                     "allowed: hash, capacity"));
}

// Guards against an instance that does not start because the platform leaves a
// bound of its template empty.
Test(settings, the_bound_of_rates_is_read_or_is_the_default) {
  const auto Read = [](const std::string &Key, const std::string &Text) {
    return parseSettings(Valid, "i1.ini", {{Key, Text}});
  };
  const auto Plain = parseSettings(Valid, "i1.ini", {});
  cr_assert(Plain->BucketReserve == 0 &&
            Plain->RateBound.Window == base::milliseconds(5000));
  cr_assert(Plain->RateBound.Overshoot == 0.1 &&
            Plain->RateBound.ExtraTokens == 20);
  cr_assert(Read("rates.window_s", "2.5")->RateBound.Window ==
            base::milliseconds(2500));
  for (const char *Key :
       {"rates.window_s", "rates.overshoot", "rates.extra_tokens"}) {
    cr_assert(Read(Key, "")->RateBound.Window == base::milliseconds(5000));
    for (const char *Wrong : {"-1", "nan", "1e9", "much", "5 s"})
      cr_assert(!Read(Key, Wrong), "%s %s", Key, Wrong);
  }
  cr_assert(Read("policy.bucket_reserve", "0.5")->BucketReserve == 0.5);
  for (const char *Wrong : {"0.51", "-0.1", "", "half"}) {
    const auto Faulty = Read("policy.bucket_reserve", Wrong);
    cr_assert(!Faulty && contains(Faulty.error().Detail, "0 to 0.5"));
  }
}

// Guards against a zone without its region: nothing that has home regions would
// be served there, or two places would name different ones.
Test(settings, zones_have_one_region_each) {
  const std::string Zones = "[zones]\na = eu\nb = us-east\n";
  const auto Settings = parseSettings(Valid + Zones, "i1.ini", {});
  cr_assert(Settings->Zones.at("a") == "eu" &&
            Settings->Zones.at("b") == "us-east");
  const auto Own = parseSettings(Valid, "i1.ini", {{"instance.region", "eu"}});
  cr_assert(Own->Zones.size() == 1 && Own->Zones.at("a") == "eu");
  const auto Empty = parseSettings(Valid, "i1.ini", {{"instance.region", ""}});
  cr_assert(Empty->Zones.empty());
  const auto Other =
      parseSettings(Valid + Zones, "i1.ini", {{"instance.region", "us"}});
  cr_assert(contains(Other.error().Detail, "give the same region"));
  cr_assert(contains(faultsOf(Valid + Zones + "b = eu\n"), "keep one"));
  cr_assert(contains(faultsOf(Valid + "[zones]\nb c = eu\n"), "NAME = REGION"));
  cr_assert(contains(faultsOf(Valid + "[zones]\nb c =\n"), "NAME = REGION"));
  cr_assert(contains(faultsOf(Valid + "[zones]\nb = e u\n"), "NAME = REGION"));
}

// Guards against an instance that does not start because the platform leaves
// the region of a zone in its template empty.
Test(settings, zones_without_a_value_are_not_given) {
  const auto Settings = parseSettings(Valid + "[zones]\na =\nb = eu\n",
                                      "i1.ini", {{"instance.region", "us"}});
  cr_assert(Settings && Settings->Zones.size() == 2);
  cr_assert(Settings->Zones.at("a") == "us" && Settings->Zones.at("b") == "eu");
}

// Guards against a bound that is half given, which would limit nothing, and
// against a template whose deployment has none.
Test(settings, the_bound_on_cold_endpoints_is_given_whole_or_not_at_all) {
  const auto Read = [](const std::string &Overshoot, const std::string &Slack) {
    return parseSettings(Valid, "i1.ini",
                         {{"endpoints.cold_overshoot", Overshoot},
                          {"endpoints.cold_slack", Slack}});
  };
  cr_assert(!parseSettings(Valid, "i1.ini", {})->ColdOvershoot);
  cr_assert(!Read("", "")->ColdOvershoot && !Read("", "")->ColdSlack);
  cr_assert(Read("1.5", "5")->ColdSlack == 5);
  cr_assert(contains(Read("1.5", "").error().Detail, "give both"));
  cr_assert(!Read("-1", "5") && !Read("1.5", "much"));
}

Test(settings, an_option_goes_before_the_file) {
  const auto Settings =
      parseSettings(Valid, "i1.ini", {{"instance.zone", "b"}});
  cr_assert(Settings.has_value());
  cr_assert(Settings->Zone == "b");
}

Test(settings, each_fault_names_file_line_key_and_what_is_allowed) {
  const std::vector<broken_line> Broken{
      {"[policy]\nqueue = lifo", "fair, fifo"},
      {"[policy]\nconnections = random", "recent, demand"},
      {"[policy]\ndrain_ms = 5 s", "0 to 600000"},
      {"[policy]\ndrain_ms = 600001", "0 to 600000"},
      {"[policy]\ndrain_ms = -1", "0 to 600000"},
      {"[log]\nlevel = loud", "trace, debug"},
      {"[log]\ncolour = red", "unknown key 'log.colour'"},
      {"[listen]\ncallers = localhost", "IP:port"},
      {"[instance]\nname = i 1", "letters"},
      {"nonsense", "neither [section] nor key = value"},
  };
  cr_assert(std::ranges::all_of(Broken, [](const broken_line &Case) {
    const std::string Faults = faultsOf(Valid + Case.Line + "\n");
    return contains(Faults, Case.Named) && contains(Faults, "i1.ini:1");
  }));
}

Test(settings, a_key_that_is_given_twice_is_refused) {
  const std::string Faults = faultsOf(Valid + "key_file = other\n");
  cr_assert(contains(Faults, "i1.ini:13: key 'fleet.key_file' is given twice"));
}

Test(settings, all_faults_are_reported_at_once) {
  const std::string Faults = faultsOf("[instance]\nname = i1\nzone =\n");
  for (const char *Key : {"'instance.zone'", "'listen.callers'",
                          "'platform.address'", "'fleet.key_file'"})
    cr_assert(contains(Faults, Key));
}

Test(settings, a_short_or_missing_secret_is_refused) {
  const auto Secret = readSecret("no such file");
  cr_assert(Secret.has_error());
  cr_assert(kindOf(Secret.error()) == base::errc::BadSettings);
}
