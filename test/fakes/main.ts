// Runs stand-ins in a process of their own, steered by commands over HTTP on loopback.
import { FakeFleet } from './FakeFleet.ts';
import { listen, readBody, sendJson } from './listen.ts';

const fleet = new FakeFleet();
const control = await listen(async (request, response) => {
  const result = await fleet.run(JSON.parse(await readBody(request)));
  sendJson(response, 200, { result });
});
console.log(JSON.stringify({ control: control.address }));

const stop = () => {
  process.stdin.destroy();
  fleet.close();
  control.close();
};
process.once('SIGTERM', stop);
process.once('SIGINT', stop);
// A stand-in has no work left once the process that started it is gone.
process.stdin.resume();
process.stdin.once('end', stop);
