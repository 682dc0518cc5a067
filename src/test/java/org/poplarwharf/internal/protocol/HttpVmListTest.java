package org.poplarwharf.internal.protocol;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;
import static org.poplarwharf.support.Eventually.eventually;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.poplarwharf.FailureCode;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.standin.StandinAddresses;
import org.poplarwharf.internal.standin.VmListFaults;
import org.poplarwharf.internal.standin.VmListStandin;
import org.poplarwharf.plugins.VmList;
import org.poplarwharf.support.ReactorThread;

class HttpVmListTest {
    private static final VmList.Vm VM = new VmList.Vm("vm-1", "n1", "127.0.0.1:1", "z1", VmList.VmState.LEAVING);

    @Test
    void a_change_is_listed_after_the_lag_and_an_outage_fails_as_not_ready() {
        try (ReactorThread thread = new ReactorThread()) {
            VmListStandin standin =
                    thread.call(() -> VmListStandin.start(thread.reactor(), StandinAddresses.loopback(), 150));
            HttpVmList list = thread.call(() -> new HttpVmList(thread.reactor(), standin.address()));
            List<VmList.Vm> listedImmediately = thread.await(() -> {
                standin.setVms(List.of(VM));
                return list.list();
            });
            assertThat(listedImmediately).isEmpty();

            eventually("the list shows the VM", () -> thread.await(list::list).equals(List.of(VM)));

            thread.run(() -> standin.faults().set(new VmListFaults(true, 0)));
            assertThat(catchThrowableOfType(PoplarWharfException.class, () -> thread.await(list::list))
                            .code())
                    .isEqualTo(FailureCode.NOT_READY);
            thread.run(standin::stop);
        }
    }
}
