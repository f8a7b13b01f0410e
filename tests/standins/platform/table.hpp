#pragma once

#include "redwinggw/base/time.hpp"
#include "redwinggw/storage/store.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

/// The data of the platform stand-in, without I/O. Not thread safe.
namespace redwinggw::standin {

/// The rows of the table service.
struct table {
  std::map<std::string, storage::row, std::less<>> Rows;
  /// One counter for all rows, so that a version is never reused, not even by a
  /// row that was deleted and created again.
  std::uint64_t LastVersion = 0;
};

/// The row \p Key, with version 0 if it does not exist.
storage::row rowAt(const table &Table, std::string_view Key);

std::vector<storage::row> rowsWithPrefix(const table &Table,
                                         std::string_view Prefix);

struct commit_outcome {
  /// Rows whose check failed, with their current versions. If there are any,
  /// nothing was changed.
  std::vector<storage::row> Conflicts;
  /// The rows written, with their new versions.
  std::vector<storage::row> Written;
};

commit_outcome commit(table &Table, const storage::commit_request &Request);

/// One change to the list of instances.
struct listing_change {
  base::instant At;
  storage::listed_instance Instance;
  bool Gone = false;
};

/// The list of instances, whose changes readers see after a lag.
struct instance_list {
  base::microseconds Lag{0};
  std::vector<listing_change> Changes;
};

/// The list as a reader sees it at \p Now, sorted by name.
std::vector<storage::listed_instance> visibleAt(const instance_list &List,
                                                base::instant Now);

} // namespace redwinggw::standin
