// Implements the RCU functions with liburcu-bp, the flavor of liburcu that
// needs no registration of threads.
#include "galenarudder/support/rcu_cell.hpp"

#include <urcu/urcu-bp.h>

namespace galenarudder::support::rcu {

void read_lock()
{
    urcu_bp_read_lock();
}

void read_unlock()
{
    urcu_bp_read_unlock();
}

void synchronize()
{
    urcu_bp_synchronize_rcu();
}

} // namespace galenarudder::support::rcu
