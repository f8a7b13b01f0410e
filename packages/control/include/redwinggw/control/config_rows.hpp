#pragma once

#include "redwinggw/base/error.hpp"
#include "redwinggw/control/configuration.hpp"
#include "redwinggw/storage/store.hpp"

#include <cstdint>
#include <optional>
#include <string>

/// The configuration as rows of the store: one head row with the version in
/// force, and one row per version with its sheet.
namespace redwinggw::control {

inline constexpr const char *HeadKey = "config/head";

/// Number of versions whose sheets stay in the store. The outcome of an older
/// submission whose answer was lost can no longer be determined.
inline constexpr base::config_version HistoryKept = 500;

/// "config/sheet/" and the version, so that scans sort by version.
std::string sheetKey(base::config_version Version);

/// The head row. Version 0: no sheet was accepted yet.
struct config_head {
  base::config_version Version = 0;
  /// Id of the submission that created this version.
  std::string Submission;
  /// Version of the head's row in the store, for the condition of the next
  /// commit.
  std::uint64_t RowVersion = 0;
};

/// One accepted sheet.
struct accepted_sheet {
  base::config_version Version = 0;
  std::string Submission;
  /// SHA-256 digest of Text, which is in the form that renderSheet writes.
  std::string Digest;
  std::string Text;
  /// Wall clock time of the acceptance in milliseconds, for display only.
  std::int64_t AcceptedAt = 0;
};

std::string encode(const config_head &Head);
std::string encode(const accepted_sheet &Sheet);

/// Both fail with errc::BadMessage when the value is not one that encode
/// writes, or when the digest does not match the text.
base::result<config_head> headOf(const storage::row &Row);
base::result<std::optional<accepted_sheet>> sheetOf(const storage::row &Row);

/// The configuration that \p Sheet declares, with the version as which it was
/// accepted. Fails with errc::BadSheet.
base::result<configuration> configurationOf(const accepted_sheet &Sheet);

} // namespace redwinggw::control
