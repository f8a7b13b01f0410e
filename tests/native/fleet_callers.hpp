#pragma once

#include "line_client.hpp"
#include "native_fleet.hpp"

#include <string>

/// What tests do as callers of a fleet.
namespace redwinggw::fleet {

/// Retries a write until it succeeds, over a new session each time.
inline bool writeEventually(const native_process &Instance,
                            const std::string &Item = "a",
                            const std::string &Data = "1") {
  return eventually([&] {
    line_client Caller(Instance.Callers, "strict", "key");
    return Caller.run("WRITE " + Item + " " + Data).Error.empty();
  });
}

/// Makes instances notice that the primary does not answer.
inline void useThePrimary(native_fleet &Fleet) {
  for (const native_process &Instance : Fleet.Instances)
    line_client(Instance.Callers, "strict", "key").run("READ a");
}

} // namespace redwinggw::fleet
