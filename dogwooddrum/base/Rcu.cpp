#include "dogwooddrum/base/Rcu.h"

// The "bulletproof" flavour of liburcu registers threads automatically, so the
// threads of an embedding program need no registration calls.
#include <urcu/urcu-bp.h>

namespace dogwooddrum::base {

RcuReadSection::RcuReadSection()
{
  urcu_bp_read_lock();
}

RcuReadSection::~RcuReadSection()
{
  urcu_bp_read_unlock();
}

void
RcuSynchronize()
{
  urcu_bp_synchronize_rcu();
}

} // namespace dogwooddrum::base
