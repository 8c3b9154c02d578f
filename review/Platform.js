/** The platform's balancer: asks each machine once a second, and takes it out after two misses. */
export class Platform {
  #misses = new Map();
  #timer;

  constructor(vms) {
    this.vms = vms;
  }

  start() {
    this.#timer = setInterval(() => {
      for (const vm of this.vms) {
        void vm.probe().then((isReady) => {
          this.#misses.set(vm, isReady ? 0 : (this.#misses.get(vm) ?? 0) + 1);
        });
      }
    }, 1_000);
  }

  /** Lists the machines that get new channels. */
  listInRotation() {
    const inRotation = this.vms.filter((vm) => (this.#misses.get(vm) ?? 0) < 2);
    return inRotation.length * 2 < this.vms.length ? this.vms : inRotation;
  }

  stop() {
    clearInterval(this.#timer);
  }
}
