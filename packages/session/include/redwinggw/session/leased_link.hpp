#pragma once

#include "redwinggw/session/slot_grant.hpp"

#include <utility>

namespace redwinggw::session {

/// A connection checked out of its pool. One that is not released explicitly
/// is closed, since its state is not known.
struct leased_link {
  leased_link() = default;
  leased_link(pool_ptr Pool, link_handle Link)
      : Pool(std::move(Pool)), Link(std::move(Link)) {}
  leased_link(leased_link &&) noexcept = default;
  leased_link &operator=(leased_link &&Other) noexcept {
    std::swap(Pool, Other.Pool);
    std::swap(Link, Other.Link);
    std::swap(Grant, Other.Grant);
    return *this;
  }
  ~leased_link() {
    if (Link)
      Pool->discard(std::move(Link));
  }

  void release() { Pool->release(std::move(Link)); }
  explicit operator bool() const { return Link != nullptr; }

  pool_ptr Pool;
  link_handle Link;
  /// The slot, held while a statement runs; a transaction releases it between
  /// its statements.
  slot_grant Grant;
};

} // namespace redwinggw::session
