#include "rcu.hpp"

#include <urcu/urcu-memb.h>

#if defined(__SANITIZE_THREAD__)
#include <sanitizer/tsan_interface.h>
#endif

namespace tanagerpaddle::rcu {

namespace {

struct registration {
    registration() { urcu_memb_register_thread(); }
    ~registration() { urcu_memb_unregister_thread(); }
    registration(const registration&) = delete;
    registration& operator=(const registration&) = delete;
};

#if defined(__SANITIZE_THREAD__)
// liburcu 0.13 is not instrumented and orders readers before synchronize() by membarrier(2), which
// ThreadSanitizer does not track. The annotations declare exactly this order: the end of a section
// happens before a later return of synchronize(). A section that is still open at that time has not
// released the tag, so an access to freed memory in it is still reported.
char section_order_tag;
#endif

}  // namespace

void register_thread() {
    thread_local const registration registered;
    (void)registered;
}

read_section::read_section() {
    register_thread();
    urcu_memb_read_lock();
}

read_section::~read_section() {
#if defined(__SANITIZE_THREAD__)
    __tsan_release(&section_order_tag);
#endif
    urcu_memb_read_unlock();
}

void synchronize() {
    register_thread();
    urcu_memb_synchronize_rcu();
#if defined(__SANITIZE_THREAD__)
    __tsan_acquire(&section_order_tag);
#endif
}

}  // namespace tanagerpaddle::rcu
