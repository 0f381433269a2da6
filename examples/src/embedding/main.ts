/**
 * `node examples/dist/src/embedding/main.js [key-value URL]`: the fenced lease in a program that has
 * nothing else of cassiamast. Without a URL it starts the private stand-in of an etcd.
 */
import { seededRandom } from '@cassiamast/coordination';
import { createKeyValueClient } from '@cassiamast/ports';
import { startKeyValue } from '@cassiamast/stand-ins';
import { playTwoWorkers } from './two-workers.js';

const given = process.argv[2];
const standIn = given === undefined ? await startKeyValue() : null;
const client = createKeyValueClient({ endpoints: [given ?? standIn?.address ?? ''] });
const result = await playTwoWorkers(client, seededRandom(process.pid), (text) => {
  console.log(text);
});
console.log(JSON.stringify(result));
await client.close();
await standIn?.stop();
